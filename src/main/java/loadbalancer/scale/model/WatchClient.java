package loadbalancer.scale.model;

import java.util.SplittableRandom;
import loadbalancer.scale.config.AgentSettings;

/** Keeps one watch open for a watcher: reconnects with backoff and full jitter after a failure. */
final class WatchClient {

  private static final int MAX_DOUBLINGS = 20;

  private final Watcher watcher;
  private final Simulation simulation;
  private final NetworkModel network;
  private final AgentSettings settings;
  private final SplittableRandom random;
  private Watch watch;
  private int attempt;

  /** Distinguishes the current sequence of attempts from stopped ones. */
  private long generation;

  /** Creates a client without a watch. */
  WatchClient(
      Watcher watcher,
      Simulation simulation,
      NetworkModel network,
      AgentSettings settings,
      SplittableRandom random) {
    this.watcher = watcher;
    this.simulation = simulation;
    this.network = network;
    this.settings = settings;
    this.random = random;
  }

  /** The machine that the watch is for. */
  Watcher watcher() {
    return watcher;
  }

  /** The open watch, or null. */
  Watch watch() {
    return watch;
  }

  /** Starts to connect after a delay with jitter. */
  void start() {
    stop();
    attempt = 0;
    scheduleAttempt(0);
  }

  /** Ends the watch and all attempts. */
  void stop() {
    generation++;
    if (watch != null) {
      watch.close();
      watch = null;
    }
  }

  /** Called when the watch has failed. */
  void watchFailed(long noticedAfterNanos) {
    watch = null;
    generation++;
    scheduleAttempt(noticedAfterNanos);
  }

  private void scheduleAttempt(long afterNanos) {
    double longestMillis =
        Math.min(
            settings.backoffMaxMs(),
            settings.backoffBaseMs() * (1L << Math.min(attempt, MAX_DOUBLINGS)));
    long backoffNanos = Durations.millisToNanos(longestMillis * random.nextDouble());
    long scheduledGeneration = generation;
    simulation.schedule(
        afterNanos + backoffNanos,
        () -> {
          if (generation == scheduledGeneration) {
            connect();
          }
        });
  }

  private void connect() {
    ControlMachine server = watcher.chooseServer(attempt);
    attempt++;
    if (!isAvailable(server)) {
      scheduleAttempt(Durations.millisToNanos(settings.connectTimeoutMs()));
      return;
    }
    // A connection takes one round trip and a half: SYN, SYN-ACK, and the request behind the ACK.
    long handshakeNanos =
        network.delayNanos(watcher.location(), server.location(), 0)
            + network.delayNanos(server.location(), watcher.location(), 0)
            + network.delayNanos(watcher.location(), server.location(), 0);
    long scheduledGeneration = generation;
    simulation.schedule(
        handshakeNanos,
        () -> {
          if (generation == scheduledGeneration) {
            open(server);
          }
        });
  }

  /** A control machine must not replicate from itself, neither directly nor through others. */
  private boolean isAvailable(ControlMachine server) {
    return server.isRunning()
        && network.isReachable(watcher.location(), server.location())
        && !server.replicatesFrom(watcher);
  }

  private void open(ControlMachine server) {
    if (!isAvailable(server)) {
      scheduleAttempt(Durations.millisToNanos(settings.connectTimeoutMs()));
      return;
    }
    attempt = 0;
    watch = new Watch(server, this);
    server.add(watch);
  }
}
