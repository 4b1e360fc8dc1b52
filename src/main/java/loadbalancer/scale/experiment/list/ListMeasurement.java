package loadbalancer.scale.experiment.list;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleConsumer;
import loadbalancer.scale.config.ListSettings;

/** Measures all costs of the endpoint list at one size. */
public final class ListMeasurement {

  private static final double STEPS = 5;

  private final ListSettings settings;
  private final long seed;

  /** Runs no task until it is told to, so that the idle sweeps of the pools do not interfere. */
  private final EventLoop eventLoop = new EmbeddedChannel().eventLoop();

  /**
   * Creates a measurement.
   *
   * @param seed determines everything that is random
   */
  public ListMeasurement(ListSettings settings, long seed) {
    this.settings = settings;
    this.seed = seed;
  }

  /** Measures the smallest list without a result, so that the JVM compiles the code. */
  public void warmUp() {
    MeasuredList list = measuredList(settings.sizes().get(0));
    for (int i = 0; i < settings.warmUpRounds(); i++) {
      new FullListTimes(list).measure();
      new ChangeTimes(list).measureSingleChanges();
      new ChangeTimes(list).measureBurst();
      new PlacementTimes(list).measure();
    }
  }

  /**
   * Measures the costs at one size.
   *
   * @param progress receives the completed fraction of this measurement
   */
  public List<Cost> measure(int size, DoubleConsumer progress) {
    MeasuredList list = measuredList(size);
    List<Cost> costs = new ArrayList<>();
    costs.addAll(new FullListTimes(list).measure());
    progress.accept(1 / STEPS);
    costs.addAll(new ChangeTimes(list).measureSingleChanges());
    progress.accept(2 / STEPS);
    costs.addAll(new ChangeTimes(list).measureBurst());
    progress.accept(3 / STEPS);
    costs.addAll(new PlacementTimes(list).measure());
    progress.accept(4 / STEPS);
    costs.addAll(new ListHeap(list).measure());
    progress.accept(1);
    return costs;
  }

  private MeasuredList measuredList(int size) {
    return new MeasuredList(settings, size, seed, eventLoop);
  }
}
