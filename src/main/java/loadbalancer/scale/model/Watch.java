package loadbalancer.scale.model;

/** An open connection from a watcher to a control machine, with the state of both sides. */
final class Watch {

  private final ControlMachine server;
  private final WatchClient client;
  private long sentVersion;
  private long writableAtNanos;
  private long lastArrivalNanos;
  private boolean isOpen = true;

  /** Creates a watch that continues from the watcher's version. */
  Watch(ControlMachine server, WatchClient client) {
    this.server = server;
    this.client = client;
    sentVersion = client.watcher().version();
  }

  /** The machine that receives the list. */
  Watcher watcher() {
    return client.watcher();
  }

  /** The control machine that sends the list. */
  ControlMachine server() {
    return server;
  }

  /** The last version sent to the watcher. */
  long sentVersion() {
    return sentVersion;
  }

  /** When the previous message has left the server. */
  long writableAtNanos() {
    return writableAtNanos;
  }

  /** Whether messages get to the watcher. */
  boolean isOpen() {
    return isOpen;
  }

  /** Records a message and returns when it arrives: not before the previous one. */
  long sent(long version, long departureNanos, long delayNanos) {
    sentVersion = version;
    writableAtNanos = departureNanos;
    lastArrivalNanos = Math.max(lastArrivalNanos, departureNanos + delayNanos);
    return lastArrivalNanos;
  }

  /** Delivers a message unless the connection has ended. */
  void deliver(DiscoveryMessage message) {
    if (isOpen) {
      watcher().receive(message);
    }
  }

  /** Ends the connection; the watcher notices it after a time. */
  void fail(long noticedAfterNanos) {
    if (isOpen) {
      isOpen = false;
      client.watchFailed(noticedAfterNanos);
    }
  }

  /** Ends the connection on the watcher's behalf. */
  void close() {
    isOpen = false;
    server.remove(this);
  }
}
