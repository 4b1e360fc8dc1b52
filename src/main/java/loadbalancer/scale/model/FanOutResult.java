package loadbalancer.scale.model;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What a run of the fan-out model measured.
 *
 * @param seconds the simulated time
 * @param changes the number of changes that entered
 * @param expectedDeliveries the number of changes times the number of balancers
 * @param deliveries the number of changes put in force, summed over the balancers
 * @param delays the times from the entry of a change until it was in force at a balancer, in
 *     nanoseconds, by the kind of the event
 * @param catchUps the times that balancers took to catch up
 * @param traffic what the balancers received
 * @param machines what the control machines did
 * @param retransmissions the number of retransmitted messages
 * @param convergedSamples how many sampled balancers have the same state as the list at the end
 */
public record FanOutResult(
    double seconds,
    long changes,
    long expectedDeliveries,
    long deliveries,
    Map<String, Histogram> delays,
    List<CatchUp> catchUps,
    BalancerTraffic traffic,
    List<ControlMachineLoad> machines,
    long retransmissions,
    long convergedSamples) {

  /** The delays of all kinds of events together. */
  public Histogram allDelays() {
    Histogram all = new Histogram(DeliveryRecorder.SIGNIFICANT_DIGITS);
    delays.values().forEach(all::add);
    return all;
  }

  /** The largest mean busy share of a control machine's core. */
  public double largestCoreShare() {
    double totalNanos = seconds * Durations.NANOS_PER_SECOND;
    return machines.stream()
        .mapToDouble(machine -> machine.coreBusyNanos() / totalNanos)
        .max()
        .orElse(0);
  }
}
