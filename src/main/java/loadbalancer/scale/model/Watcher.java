package loadbalancer.scale.model;

/** A machine that watches the list at a control machine: an agent or another control machine. */
interface Watcher {

  /** Where the machine runs. */
  Location location();

  /** The version of its list; {@link MessageFactory#NO_VERSION} if it has none. */
  long version();

  /** Handles a message, which continues from {@link #version} or is a full list. */
  void receive(DiscoveryMessage message);

  /** The time that a transfer to the machine takes at its own link. */
  long transferNanos(long wireBytes);

  /** The control machine for the next attempt to connect; {@code attempt} counts from 0. */
  ControlMachine chooseServer(int attempt);
}
