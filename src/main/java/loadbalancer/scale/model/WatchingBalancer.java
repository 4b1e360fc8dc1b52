package loadbalancer.scale.model;

import java.util.Optional;
import loadbalancer.scale.config.AgentSettings;

/**
 * A balancer without requests behind an agent: applies messages one after the other, in the time
 * that the settings state. A sampled one applies them to a real policy as well.
 */
final class WatchingBalancer {

  private final int index;
  private final FanOutContext context;
  private final DeliveryRecorder recorder;
  private final Optional<SampledBalancer> sample;
  private long busyUntilNanos;

  /** Creates a balancer that has the list of version 0. */
  WatchingBalancer(
      int index,
      FanOutContext context,
      DeliveryRecorder recorder,
      Optional<SampledBalancer> sample) {
    this.index = index;
    this.context = context;
    this.recorder = recorder;
    this.sample = sample;
  }

  /** Applies a message that the agent has received now. */
  void apply(DiscoveryMessage message) {
    AgentSettings settings = context.settings().agent();
    long nowNanos = context.simulation().nowNanos();
    double applyMicros =
        settings.applyMessageMicroseconds()
            + settings.applyEntryMicroseconds() * message.list().endpoints().size();
    long startNanos =
        Math.max(busyUntilNanos, nowNanos + Durations.millisToNanos(settings.localDelayMs()));
    busyUntilNanos = startNanos + Durations.microsToNanos(applyMicros);
    sample.ifPresent(balancer -> balancer.apply(message, busyUntilNanos));
    long wireBytes = context.network().wireBytes(message.payload().length());
    recorder.received(index, wireBytes, nowNanos);
    recorder.inForce(index, message.version(), busyUntilNanos);
  }
}
