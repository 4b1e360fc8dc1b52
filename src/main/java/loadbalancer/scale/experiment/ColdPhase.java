package loadbalancer.scale.experiment;

import loadbalancer.scale.model.RequestOutcome;
import org.HdrHistogram.Histogram;

/** The requests that ended in one phase of a {@link ColdTrial}. */
final class ColdPhase {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Histogram servedLatencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private long rejected;
  private long failed;

  /** Adds a request that ended in this phase. */
  void add(RequestOutcome outcome, long latencyNanos) {
    if (outcome == RequestOutcome.SERVED) {
      servedLatencyMicros.recordValue(latencyNanos / NANOS_PER_MICRO);
    } else if (outcome == RequestOutcome.REJECTED) {
      rejected++;
    } else {
      failed++;
    }
  }

  /** Adds the requests of another phase. */
  void add(ColdPhase other) {
    servedLatencyMicros.add(other.servedLatencyMicros);
    rejected += other.rejected;
    failed += other.failed;
  }

  /** The number of requests that an upstream served. */
  long served() {
    return servedLatencyMicros.getTotalCount();
  }

  /** The number of requests that a balancer rejected. */
  long rejected() {
    return rejected;
  }

  /** The number of requests that a balancer reported as failed. */
  long failed() {
    return failed;
  }

  /** The latency of the served requests at a percentile from 0 to 100. */
  double latencyMillis(double percentile) {
    return servedLatencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
