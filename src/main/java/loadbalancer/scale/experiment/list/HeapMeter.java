package loadbalancer.scale.experiment.list;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.math3.stat.StatUtils;

/** Measures the heap that an object retains, from the heap in use after garbage collections. */
final class HeapMeter {

  /** The serial collector leaves dead objects in place except at every fourth collection. */
  private static final int COLLECTIONS = 4;

  private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
  private static final double MEDIAN_PERCENTILE = 50;

  private final int instances;
  private final int repetitions;

  /**
   * Creates a meter.
   *
   * @param instances the number of objects that are created for one measurement
   * @param repetitions the number of measurements, whose median is the result
   */
  HeapMeter(int instances, int repetitions) {
    this.instances = instances;
    this.repetitions = repetitions;
  }

  /**
   * Returns the bytes that one object retains.
   *
   * @param create creates an object
   * @param release is called with each object after the measurement
   */
  <T> double medianBytes(Supplier<T> create, Consumer<T> release) {
    double[] bytes = new double[repetitions];
    for (int i = 0; i < repetitions; i++) {
      bytes[i] = bytes(create, release);
    }
    return StatUtils.percentile(bytes, MEDIAN_PERCENTILE);
  }

  private <T> double bytes(Supplier<T> create, Consumer<T> release) {
    List<T> objects = new ArrayList<>(instances);
    try {
      long usedBefore = usedBytes();
      for (int i = 0; i < instances; i++) {
        objects.add(create.get());
      }
      return (double) (usedBytes() - usedBefore) / instances;
    } finally {
      Reference.reachabilityFence(objects);
      objects.forEach(release);
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return MEMORY.getHeapMemoryUsage().getUsed();
  }
}
