package loadbalancer.scale.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.report.ExperimentResult;

/**
 * The experiment "cold": restarts one upstream of a service before different numbers of balancers,
 * and measures how much of the upstream's capacity is used while it warms up, and whether the
 * balancers overload it together. Each trial is simulated on one thread.
 */
public final class ColdExperiment implements Experiment {

  /** The name of the experiment in the configuration and the report. */
  public static final String NAME = "cold";

  private final ColdSettings settings;
  private final long seed;

  /** Creates the experiment; {@code seed} determines everything that is random in it. */
  public ColdExperiment(ColdSettings settings, long seed) {
    this.settings = settings;
    this.seed = seed;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public ExperimentResult run(DoubleConsumer progress) {
    ExecutorService executor = Executors.newFixedThreadPool(settings.threads());
    try {
      await(executor.submit(warmUpTrial()));
      List<Future<ColdTrialResult>> trials = submitTrials(executor);
      ColdReport report = new ColdReport();
      int completed = 0;
      for (int balancers : settings.balancerCounts()) {
        List<ColdTrialResult> results = new ArrayList<>();
        for (int restart = 0; restart < settings.restarts(); restart++) {
          results.add(await(trials.get(completed)));
          completed++;
          progress.accept((double) completed / trials.size());
        }
        report.add(balancers, results);
      }
      return report.result(NAME);
    } finally {
      executor.shutdownNow();
    }
  }

  /** A trial whose result is not used: it has the JVM compile the policy before the others. */
  private Callable<ColdTrialResult> warmUpTrial() {
    return () -> new ColdTrial(settings, settings.balancerCounts().get(0), seed).run();
  }

  private List<Future<ColdTrialResult>> submitTrials(ExecutorService executor) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Future<ColdTrialResult>> trials = new ArrayList<>();
    for (int balancers : settings.balancerCounts()) {
      for (int restart = 0; restart < settings.restarts(); restart++) {
        long trialSeed = random.nextLong();
        trials.add(executor.submit(() -> new ColdTrial(settings, balancers, trialSeed).run()));
      }
    }
    return trials;
  }

  private static ColdTrialResult await(Future<ColdTrialResult> trial) {
    try {
      return trial.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a trial of the experiment failed", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("the experiment was interrupted", e);
    }
  }
}
