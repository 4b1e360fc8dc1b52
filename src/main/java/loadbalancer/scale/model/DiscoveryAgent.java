package loadbalancer.scale.model;

import java.util.List;

/**
 * The agent on a balancer's machine: watches the list at a control machine and passes each message
 * on to the balancer. It prefers the control machines of its region.
 */
final class DiscoveryAgent implements Watcher {

  private static final int BITS_PER_BYTE = 8;
  private static final double MEGABITS_PER_GIGABIT = 1e3;

  /** After this many attempts at each machine of its region, the agent tries all regions. */
  private static final int REGIONAL_ATTEMPTS = 2;

  private final int index;
  private final FanOutContext context;
  private final ControlPlane plane;
  private final List<ControlMachine> regionalMachines;
  private final WatchingBalancer balancer;
  private final WatchClient client;
  private ControlMachine lastServer;
  private long version;

  /** Creates an agent that has the list of version 0 and is assigned to a control machine. */
  DiscoveryAgent(int index, FanOutContext context, ControlPlane plane, WatchingBalancer balancer) {
    this.index = index;
    this.context = context;
    this.plane = plane;
    this.balancer = balancer;
    ControlMachine home = plane.machines().get(index % plane.machines().size());
    regionalMachines = plane.machinesOf(home.location().region());
    client = context.clientOf(this);
  }

  /** Starts to watch the list. */
  void start() {
    lastServer = null;
    client.start();
  }

  /** Restarts the agent and its balancer without a list. */
  void restartWithoutList() {
    client.stop();
    version = MessageFactory.NO_VERSION;
    start();
  }

  /** The agents of a control machine are spread over the zones of its region. */
  @Override
  public Location location() {
    int region = regionalMachines.get(0).location().region();
    int zonesPerRegion = context.settings().zonesPerRegion();
    int position = index / plane.machines().size();
    return new Location(region, region * zonesPerRegion + position % zonesPerRegion);
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public void receive(DiscoveryMessage message) {
    if (!message.list().full() && message.afterVersion() != version) {
      throw new IllegalStateException(
          "agent " + index + " has version " + version + ", got " + message.afterVersion());
    }
    if (message.version() <= version) {
      throw new IllegalStateException(
          "agent " + index + " has version " + version + ", got " + message.version());
    }
    version = message.version();
    balancer.apply(message);
  }

  @Override
  public long transferNanos(long wireBytes) {
    double gigabitsPerSecond =
        context.settings().agent().receiveMegabitsPerSecond() / MEGABITS_PER_GIGABIT;
    return Math.round(wireBytes * BITS_PER_BYTE / gigabitsPerSecond);
  }

  @Override
  public ControlMachine chooseServer(int attempt) {
    if (lastServer == null) {
      lastServer = plane.machines().get(index % plane.machines().size());
      return lastServer;
    }
    boolean isRegional = attempt < REGIONAL_ATTEMPTS * regionalMachines.size();
    List<ControlMachine> candidates = isRegional ? regionalMachines : plane.machines();
    ControlMachine chosen = candidates.get(context.random().nextInt(candidates.size()));
    if (chosen == lastServer) {
      int next = (candidates.indexOf(chosen) + 1) % candidates.size();
      chosen = candidates.get(next);
    }
    lastServer = chosen;
    return chosen;
  }
}
