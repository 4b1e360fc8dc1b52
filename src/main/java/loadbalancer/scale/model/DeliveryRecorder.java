package loadbalancer.scale.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.scale.config.EventKind;
import org.HdrHistogram.Histogram;

/** Records when each change is in force at each balancer, and what the balancers receive. */
final class DeliveryRecorder {

  private static final String INSIDE_SUFFIX = "-inside";

  /** The precision of the histograms. */
  static final int SIGNIFICANT_DIGITS = 3;

  private final ChangeLog log;
  private final IntPredicate isInCutRegion;
  private final long[] versions;
  private final BalancerTraffic traffic;
  private final Map<String, Histogram> delays = new TreeMap<>();
  private final List<CatchUp> catchUps = new ArrayList<>();
  private long recordedChanges;

  /**
   * Creates a recorder of balancers that have the list of version 0.
   *
   * @param isInCutRegion whether the balancer of an index is in a region that is cut off in the run
   */
  DeliveryRecorder(ChangeLog log, int balancers, IntPredicate isInCutRegion) {
    this.log = log;
    this.isInCutRegion = isInCutRegion;
    versions = new long[balancers];
    traffic = new BalancerTraffic(balancers);
  }

  /** Records a message that arrived at a balancer's machine. */
  void received(int balancer, long wireBytes, long nowNanos) {
    traffic.add(balancer, wireBytes, nowNanos);
  }

  /** Records that all changes up to a version are in force at a balancer. */
  void inForce(int balancer, long version, long nowNanos) {
    for (long changed = versions[balancer] + 1; changed <= version; changed++) {
      EndpointChange change = log.change(changed);
      histogram(change.kind(), balancer).recordValue(nowNanos - change.enteredNanos());
      recordedChanges++;
    }
    versions[balancer] = Math.max(versions[balancer], version);
    catchUps.forEach(catchUp -> catchUp.inForce(balancer, version, nowNanos));
  }

  /** Starts to measure when balancers have caught up with the current version. */
  void startCatchUp(EventKind kind, IntPredicate isMeasured, boolean withoutList, long nowNanos) {
    BitSet missing = new BitSet();
    IntStream.range(0, versions.length)
        .filter(isMeasured)
        .filter(balancer -> withoutList || versions[balancer] < log.lastVersion())
        .forEach(missing::set);
    catchUps.add(new CatchUp(kind, missing, log.lastVersion(), nowNanos));
  }

  private Histogram histogram(EventKind kind, int balancer) {
    boolean isInside = kind == EventKind.REGION_CUT && isInCutRegion.test(balancer);
    String name = isInside ? kind.text() + INSIDE_SUFFIX : kind.text();
    return delays.computeIfAbsent(name, key -> new Histogram(SIGNIFICANT_DIGITS));
  }

  /** The delays until changes were in force, in nanoseconds, by the kind of the event. */
  Map<String, Histogram> delays() {
    return delays;
  }

  /** The times that balancers took to catch up. */
  List<CatchUp> catchUps() {
    return catchUps;
  }

  /** What the balancers received. */
  BalancerTraffic traffic() {
    return traffic;
  }

  /** The number of changes put in force, summed over the balancers. */
  long recordedChanges() {
    return recordedChanges;
  }
}
