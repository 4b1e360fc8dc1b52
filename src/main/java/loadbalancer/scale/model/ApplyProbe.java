package loadbalancer.scale.model;

import loadbalancer.scale.config.EventKind;

/** Measures the time in which a balancer parses and applies messages, with its own code. */
public final class ApplyProbe {

  private final int listEntries;
  private final ChangeLog log;
  private final MessageFactory messages;
  private final SampledBalancer balancer;
  private int nextEntry;

  /** Creates a balancer with a list of this size. */
  public ApplyProbe(int listEntries, long seed) {
    this.listEntries = listEntries;
    log = new ChangeLog(listEntries);
    messages = new MessageFactory(log);
    balancer = new SampledBalancer(listEntries, seed);
    balancer.load(messages.fullList(0));
  }

  /** Applies a message with a number of changed entries and returns the time that it took. */
  public long applyChangesNanos(int entries) {
    long beforeVersion = log.lastVersion();
    for (int i = 0; i < entries; i++) {
      nextEntry = (nextEntry + 1) % listEntries;
      double weight = 1 + (double) nextEntry / listEntries;
      log.append(
          new EndpointEntry(nextEntry, EndpointEntry.IN_SERVICE, weight), 0, EventKind.STEADY);
    }
    DiscoveryMessage message = messages.changes(beforeVersion, log.lastVersion());
    long startNanos = System.nanoTime();
    balancer.apply(message, 0);
    return System.nanoTime() - startNanos;
  }

  /** Parses and applies the full list and returns the time that it took. */
  public long applyFullListNanos() {
    DiscoveryMessage message = messages.fullList(log.lastVersion());
    long startNanos = System.nanoTime();
    DiscoveryMessage parsed =
        new DiscoveryMessage(
            message.afterVersion(), message.payload(), MessageFactory.parse(message.payload()));
    balancer.apply(parsed, 0);
    return System.nanoTime() - startNanos;
  }

  /** The size of the full list in JSON. */
  public long fullListBytes() {
    return messages.fullList(log.lastVersion()).payload().length();
  }
}
