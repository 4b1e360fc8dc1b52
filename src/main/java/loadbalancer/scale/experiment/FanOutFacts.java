package loadbalancer.scale.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import loadbalancer.scale.config.AgentSettings;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.model.CatchUp;
import loadbalancer.scale.model.ControlMachineLoad;
import loadbalancer.scale.model.Durations;
import loadbalancer.scale.model.FanOutResult;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.Fact;
import org.HdrHistogram.Histogram;

/** Formats the result of a run of the fan-out model as facts. */
final class FanOutFacts {

  /** The time in which a change has to be in force at all balancers. */
  private static final long TARGET_NANOS = 4_000_000_000L;

  private static final double BYTES_PER_KILOBYTE = 1e3;
  private static final double MICROS_PER_SECOND = 1e6;

  private final ChangeSettings settings;
  private final ApplyCalibration calibration;
  private final FanOutResult result;
  private final List<Fact> facts = new ArrayList<>();

  private FanOutFacts(ChangeSettings settings, ApplyCalibration calibration, FanOutResult result) {
    this.settings = settings;
    this.calibration = calibration;
    this.result = result;
  }

  /** The facts of the run with the events. */
  static List<Fact> of(ChangeSettings settings, ApplyCalibration calibration, FanOutResult result) {
    FanOutFacts facts = new FanOutFacts(settings, calibration, result);
    facts.addCalibration();
    facts.addDeliveries();
    result.delays().forEach(facts::addDelays);
    facts.addBalancerCosts();
    facts.addMachineCosts();
    facts.addCatchUps();
    return facts.facts;
  }

  /** The bytes a second that heartbeats take at each balancer. */
  static double heartbeatBytesPerSecond(AgentSettings agent) {
    return agent.heartbeatBytes() / agent.heartbeatSeconds();
  }

  private void addCalibration() {
    addMeasured("apply-message", calibration.messageMicros(), "microseconds");
    addMeasured("apply-entry", calibration.entryMicros(), "microseconds");
    addMeasured("apply-full-list", calibration.fullListMillis(), "ms");
    addMeasured("full-list-size", (double) calibration.fullListBytes(), "bytes");
  }

  private void addDeliveries() {
    long missing = result.expectedDeliveries() - result.deliveries();
    addCount("changes", result.changes(), "changes");
    addCount("deliveries", result.deliveries(), "changes");
    addCount("deliveries-missing", missing, "changes");
    addCount("retransmissions", result.retransmissions(), "messages");
    addSimulated("sampled-balancers", settings.sampledBalancers(), "balancers");
    addCount("sampled-balancers-converged", result.convergedSamples(), "balancers");
    addSimulated("sampled-list-entries", settings.sampledListEntries(), "endpoints");
  }

  private void addDelays(String kind, Histogram delays) {
    addSimulated(
        kind + "-delay-p50", delays.getValueAtPercentile(50) / Durations.NANOS_PER_MILLI, "ms");
    addSimulated(
        kind + "-delay-p99", delays.getValueAtPercentile(99) / Durations.NANOS_PER_MILLI, "ms");
    addSimulated(kind + "-delay-worst", delays.getMaxValue() / Durations.NANOS_PER_MILLI, "ms");
    double inTime = delays.getPercentileAtOrBelowValue(TARGET_NANOS);
    addSimulated(kind + "-within-4-s", inTime, "percent");
  }

  private void addBalancerCosts() {
    double meanBytes = result.traffic().meanBytes() / result.seconds();
    double heartbeatBytes = heartbeatBytesPerSecond(settings.agent());
    addSimulated("balancer-mean", meanBytes / BYTES_PER_KILOBYTE, "KB/s");
    addSimulated(
        "balancer-worst-second", result.traffic().worstSecondBytes() / BYTES_PER_KILOBYTE, "KB/s");
    add("balancer-heartbeats", heartbeatBytes / BYTES_PER_KILOBYTE, "KB/s", Basis.DERIVED);
    double messages = result.traffic().meanMessages() / result.seconds();
    addSimulated("balancer-messages-mean", messages, "messages/s");
    double coreShare = messages * calibration.messageMicros() / MICROS_PER_SECOND;
    add("balancer-core-share", 100 * coreShare, "percent", Basis.DERIVED);
  }

  private void addMachineCosts() {
    addLargest("machine-messages-most", ControlMachineLoad::messages, "messages");
    addLargest("machine-bytes-most", ControlMachineLoad::bytes, "bytes");
    addLargest("machine-full-lists-most", ControlMachineLoad::fullLists, "messages");
    double totalNanos = result.seconds() * Durations.NANOS_PER_SECOND;
    addLargest(
        "machine-core-mean-most", load -> 100 * load.coreBusyNanos() / totalNanos, "percent");
    addLargest("machine-core-worst-second", load -> 100 * load.worstCoreShare(), "percent");
    addLargest("machine-link-worst-second", load -> 100 * load.worstLinkShare(), "percent");
    double bytes = result.machines().stream().mapToDouble(ControlMachineLoad::bytes).sum();
    double fullLists = result.machines().stream().mapToDouble(ControlMachineLoad::fullLists).sum();
    addSimulated("machines-bytes", bytes, "bytes");
    addSimulated("machines-full-lists", fullLists, "messages");
  }

  private void addLargest(String name, ToDoubleFunction<ControlMachineLoad> value, String unit) {
    addSimulated(name, result.machines().stream().mapToDouble(value).max().orElse(0), unit);
  }

  private void addCatchUps() {
    for (int i = 0; i < result.catchUps().size(); i++) {
      CatchUp catchUp = result.catchUps().get(i);
      String name = catchUp.kind().text() + "-catch-up-" + i;
      addSimulated(name, catchUp.nanos() / Durations.NANOS_PER_MILLI, "ms");
      addSimulated(name + "-balancers", catchUp.balancers(), "balancers");
      addSimulated(name + "-missing", catchUp.missing(), "balancers");
    }
  }

  private void addMeasured(String name, double value, String unit) {
    add(name, value, unit, Basis.MEASURED);
  }

  private void addCount(String name, long value, String unit) {
    addSimulated(name, (double) value, unit);
  }

  private void addSimulated(String name, double value, String unit) {
    add(name, value, unit, Basis.SIMULATED);
  }

  private void add(String name, double value, String unit, Basis basis) {
    facts.add(new Fact(name, value, unit, basis));
  }
}
