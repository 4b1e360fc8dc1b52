package loadbalancer.scale.model;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.scale.config.ControlPlaneSettings;

/**
 * One control machine: replicates the changes from the leader, or is the leader, and streams them
 * to its watchers. It sends to one watcher after the other, and sends a watcher nothing while the
 * previous message to it is still leaving; the next message then has all changes since.
 */
final class ControlMachine implements Watcher {

  private static final int BITS_PER_BYTE = 8;

  private final int index;
  private final Location location;
  private final FanOutContext context;
  private final ControlPlane plane;
  private final ControlPlaneSettings settings;
  private final WatchClient client;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Set<Watch> delayedWatches = new LinkedHashSet<>();
  private final SerialResource core = new SerialResource();
  private final SerialResource link = new SerialResource();
  private long version;

  /** The version after which this machine knows all changes. */
  private long historyStart;

  private boolean isRunning = true;
  private boolean flushScheduled;
  private long messagesSent;
  private long bytesSent;
  private long fullListsSent;

  /** Creates a running machine that has the list of version 0. */
  ControlMachine(int index, Location location, FanOutContext context, ControlPlane plane) {
    this.index = index;
    this.location = location;
    this.context = context;
    this.plane = plane;
    settings = context.settings().controlPlane();
    client = context.clientOf(this);
  }

  /** The index of the machine. */
  int index() {
    return index;
  }

  @Override
  public Location location() {
    return location;
  }

  @Override
  public long version() {
    return version;
  }

  /** Whether the machine accepts watches. */
  boolean isRunning() {
    return isRunning;
  }

  /** The client that watches the machine that this one replicates from. */
  WatchClient client() {
    return client;
  }

  /** Whether a machine is this one, or this one gets its changes from it. */
  boolean replicatesFrom(Watcher other) {
    if (this == other) {
      return true;
    }
    return client.watch() != null && client.watch().server().replicatesFrom(other);
  }

  /** The open watches at this machine. */
  List<Watch> watches() {
    return List.copyOf(watches);
  }

  /** What the machine has done so far. */
  ControlMachineLoad load() {
    return new ControlMachineLoad(
        messagesSent,
        bytesSent,
        fullListsSent,
        core.busyNanos(),
        core.worstSecondShare(),
        link.worstSecondShare());
  }

  @Override
  public ControlMachine chooseServer(int attempt) {
    return plane.upstreamOf(this);
  }

  @Override
  public long transferNanos(long wireBytes) {
    return linkNanos(wireBytes);
  }

  @Override
  public void receive(DiscoveryMessage message) {
    if (message.list().full()) {
      historyStart = message.version();
    }
    long receivedNanos =
        core.use(
            context.simulation().nowNanos(),
            Durations.microsToNanos(settings.receiveMessageMicroseconds()));
    advanceTo(message.version(), receivedNanos);
  }

  /** Takes over the changes of the log up to a version; called on the leader. */
  void advanceTo(long newVersion) {
    advanceTo(newVersion, context.simulation().nowNanos());
  }

  private void advanceTo(long newVersion, long readyNanos) {
    if (newVersion < version) {
      throw new IllegalStateException("version " + newVersion + " is before " + version);
    }
    version = newVersion;
    historyStart = Math.max(historyStart, version - settings.historyChanges());
    if (!flushScheduled) {
      flushScheduled = true;
      long waitNanos = readyNanos - context.simulation().nowNanos();
      context.simulation().schedule(waitNanos + batchNanos(), this::flush);
    }
  }

  /** Only the leader collects changes; the others pass on what they receive. */
  private long batchNanos() {
    return plane.isLeader(this) ? Durations.millisToNanos(settings.batchMs()) : 0;
  }

  /** Accepts a watch and sends it the changes that it lacks. */
  void add(Watch watch) {
    watches.add(watch);
    send(watch);
  }

  /** Forgets a watch that has ended. */
  void remove(Watch watch) {
    watches.remove(watch);
    delayedWatches.remove(watch);
  }

  /** Stops the machine; its watchers notice it after a time. */
  void stop(long noticedAfterNanos) {
    isRunning = false;
    client.stop();
    for (Watch watch : watches()) {
      remove(watch);
      watch.fail(noticedAfterNanos);
    }
    core.reset(context.simulation().nowNanos());
    link.reset(context.simulation().nowNanos());
  }

  /** Starts the machine with the list that it stored, and possibly the history of changes. */
  void start() {
    isRunning = true;
    if (!settings.historySurvivesRestart()) {
      historyStart = version;
    }
  }

  private void flush() {
    flushScheduled = false;
    watches().forEach(this::send);
  }

  private void send(Watch watch) {
    if (!isRunning || !watch.isOpen() || watch.sentVersion() >= version) {
      return;
    }
    long nowNanos = context.simulation().nowNanos();
    if (watch.writableAtNanos() > nowNanos) {
      sendWhenWritable(watch, watch.writableAtNanos() - nowNanos);
      return;
    }
    DiscoveryMessage message = messageAfter(watch.sentVersion());
    long wireBytes = context.network().wireBytes(message.payload().length());
    long departureNanos = link.use(useCore(wireBytes), linkNanos(wireBytes));
    Watcher watcher = watch.watcher();
    long delayNanos =
        context.network().delayNanos(location, watcher.location(), message.payload().length())
            + watcher.transferNanos(wireBytes);
    long arrivalNanos = watch.sent(message.version(), departureNanos, delayNanos);
    messagesSent++;
    bytesSent += wireBytes;
    context.simulation().schedule(arrivalNanos - nowNanos, () -> watch.deliver(message));
  }

  private void sendWhenWritable(Watch watch, long delayNanos) {
    if (delayedWatches.add(watch)) {
      context
          .simulation()
          .schedule(
              delayNanos,
              () -> {
                delayedWatches.remove(watch);
                send(watch);
              });
    }
  }

  private DiscoveryMessage messageAfter(long sentVersion) {
    if (sentVersion >= historyStart) {
      return context.messages().changes(sentVersion, version);
    }
    fullListsSent++;
    return context.messages().fullList(version);
  }

  private long useCore(long wireBytes) {
    long workNanos =
        Durations.microsToNanos(settings.sendMessageMicroseconds())
            + Math.round(settings.sendByteNanoseconds() * wireBytes);
    return core.use(context.simulation().nowNanos(), workNanos);
  }

  private long linkNanos(long wireBytes) {
    return Math.round(wireBytes * BITS_PER_BYTE / settings.linkGigabitsPerSecond());
  }
}
