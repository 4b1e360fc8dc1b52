package loadbalancer.scale.experiment.list;

import java.util.concurrent.TimeUnit;
import loadbalancer.scale.report.Basis;
import org.HdrHistogram.Histogram;

/**
 * One cost at one size of the list.
 *
 * @param name names the cost
 * @param value the value
 * @param unit the unit of the value
 * @param basis how the value was obtained
 */
public record Cost(String name, double value, String unit, Basis basis) {

  private static final String MILLISECONDS = "ms";
  private static final String MEGABYTES = "MB";
  private static final String BYTES = "bytes";
  private static final double BYTES_PER_MEGABYTE = 1_000_000;
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** A measured time, from nanoseconds. */
  static Cost time(String name, double nanos) {
    return new Cost(name, nanos / NANOS_PER_MILLI, MILLISECONDS, Basis.MEASURED);
  }

  /** A percentile of measured times, from a histogram of nanoseconds. */
  static Cost percentile(String name, Histogram nanos, double percentile) {
    return time(name, (double) nanos.getValueAtPercentile(percentile));
  }

  /** Measured heap, from bytes. */
  static Cost heap(String name, double bytes) {
    return new Cost(name, bytes / BYTES_PER_MEGABYTE, MEGABYTES, Basis.MEASURED);
  }

  /** The size of a message of the modelled discovery service. */
  static Cost wireBytes(String name, double bytes) {
    return new Cost(name, bytes, BYTES, Basis.SIMULATED);
  }

  /** A number that follows from the policy's decisions. */
  static Cost count(String name, double value, String unit) {
    return new Cost(name, value, unit, Basis.SIMULATED);
  }
}
