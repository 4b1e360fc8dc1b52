package loadbalancer.scale.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.ScheduledEvent;
import loadbalancer.scale.config.SeriesSettings;
import loadbalancer.scale.model.Durations;
import loadbalancer.scale.model.FanOutModel;
import loadbalancer.scale.model.FanOutResult;
import loadbalancer.scale.model.FanOutScenario;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.ExperimentResult;
import loadbalancer.scale.report.Fact;
import loadbalancer.scale.report.Point;
import loadbalancer.scale.report.Series;

/**
 * The experiment "change": how long changes of the list take to be in force at all balancers, and
 * what they cost, through discovery's fan-out in simulated time.
 */
public final class ChangeExperiment implements Experiment {

  /** The name of the experiment in the configuration and the report. */
  public static final String NAME = "change";

  private static final double MAIN_RUN_PROGRESS = 0.6;

  private static final String BALANCERS = "balancers";

  private final ChangeSettings settings;
  private final long seed;

  /** Creates the experiment; {@code seed} determines everything that is random in it. */
  public ChangeExperiment(ChangeSettings settings, long seed) {
    this.settings = settings;
    this.seed = seed;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public ExperimentResult run(DoubleConsumer progress) {
    ApplyCalibration calibration = ApplyCalibration.measure(settings.listEntries(), seed);
    FanOutResult main =
        new FanOutModel(mainScenario(), seed)
            .run(fraction -> progress.accept(MAIN_RUN_PROGRESS * fraction));
    List<Fact> facts = FanOutFacts.of(settings, calibration, main);
    List<Series> series = new ArrayList<>(balancerSeries());
    series.add(rateSeries());
    series.add(applySeries(calibration));
    progress.accept(1);
    return new ExperimentResult(NAME, series, facts);
  }

  private FanOutScenario mainScenario() {
    return new FanOutScenario(
        settings,
        settings.balancers(),
        settings.sampledBalancers(),
        settings.changesPerSecond(),
        settings.durationSeconds(),
        settings.events());
  }

  private Series applySeries(ApplyCalibration atFleetSize) {
    List<Point> points = new ArrayList<>();
    for (int entries : settings.series().listEntries()) {
      boolean isMeasured = entries == settings.listEntries();
      ApplyCalibration calibration =
          isMeasured ? atFleetSize : ApplyCalibration.measure(entries, seed);
      points.add(new Point(entries, calibration.messageMicros()));
    }
    return new Series("apply-message", "endpoints", "microseconds", Basis.MEASURED, points);
  }

  private List<Series> balancerSeries() {
    List<Point> p99 = new ArrayList<>();
    List<Point> worst = new ArrayList<>();
    List<Point> coreShare = new ArrayList<>();
    for (int balancers : settings.series().balancers()) {
      FanOutResult result = runWithBurst(balancers);
      double p99Millis = result.allDelays().getValueAtPercentile(99) / Durations.NANOS_PER_MILLI;
      p99.add(new Point(balancers, p99Millis));
      worst.add(new Point(balancers, result.allDelays().getMaxValue() / Durations.NANOS_PER_MILLI));
      coreShare.add(new Point(balancers, 100 * result.largestCoreShare()));
    }
    return List.of(
        new Series("delay-p99", BALANCERS, "ms", Basis.SIMULATED, p99),
        new Series("delay-worst", BALANCERS, "ms", Basis.SIMULATED, worst),
        new Series("machine-core-share", BALANCERS, "percent", Basis.SIMULATED, coreShare));
  }

  private FanOutResult runWithBurst(int balancers) {
    SeriesSettings series = settings.series();
    ScheduledEvent burst =
        new ScheduledEvent(
            EventKind.BURST, series.durationSeconds() / 2, 1, 0, 0, series.burstEntries());
    FanOutScenario scenario =
        new FanOutScenario(
            settings,
            balancers,
            0,
            settings.changesPerSecond(),
            series.durationSeconds(),
            List.of(burst));
    return new FanOutModel(scenario, seed).run(fraction -> {});
  }

  private Series rateSeries() {
    SeriesSettings series = settings.series();
    List<Point> bytes = new ArrayList<>();
    for (double rate : series.changesPerSecond()) {
      FanOutScenario scenario =
          new FanOutScenario(
              settings, series.rateBalancers(), 0, rate, series.durationSeconds(), List.of());
      FanOutResult result = new FanOutModel(scenario, seed).run(fraction -> {});
      double bytesPerSecond = result.traffic().meanBytes() / result.seconds();
      double heartbeatBytes = FanOutFacts.heartbeatBytesPerSecond(settings.agent());
      bytes.add(new Point(rate, bytesPerSecond + heartbeatBytes));
    }
    return new Series("balancer-bytes", "changes/s", "bytes/s", Basis.SIMULATED, bytes);
  }
}
