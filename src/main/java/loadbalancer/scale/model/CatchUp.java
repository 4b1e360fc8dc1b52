package loadbalancer.scale.model;

import java.util.BitSet;
import loadbalancer.scale.config.EventKind;

/** Measures how long balancers take to get to a version. */
public final class CatchUp {

  private final EventKind kind;
  private final BitSet missing;
  private final int measured;
  private final long version;
  private final long startNanos;
  private long lastNanos;

  /** Creates a measurement that starts now, with the balancers that lack the version. */
  CatchUp(EventKind kind, BitSet missing, long version, long startNanos) {
    this.kind = kind;
    this.missing = missing;
    this.version = version;
    this.startNanos = startNanos;
    measured = missing.cardinality();
    lastNanos = startNanos;
  }

  /** Records that a version is in force at a balancer. */
  void inForce(int balancer, long newVersion, long nowNanos) {
    if (newVersion >= version && missing.get(balancer)) {
      missing.clear(balancer);
      lastNanos = Math.max(lastNanos, nowNanos);
    }
  }

  /** The event that made the balancers fall behind. */
  public EventKind kind() {
    return kind;
  }

  /** The number of balancers that were behind. */
  public int balancers() {
    return measured;
  }

  /** The number of balancers that have not caught up. */
  public int missing() {
    return missing.cardinality();
  }

  /** The time until the last balancer that has caught up did so. */
  public long nanos() {
    return lastNanos - startNanos;
  }
}
