package loadbalancer.scale.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.Replication;

/**
 * All control machines. Changes enter at the leader, which replicates them to the others. Changes
 * that enter while there is no leader wait for the next one.
 */
final class ControlPlane {

  private final FanOutContext context;
  private final List<ControlMachine> machines = new ArrayList<>();
  private final Queue<PendingChange> pendingChanges = new ArrayDeque<>();
  private ControlMachine leader;
  private boolean hasLeader = true;

  /** Creates running machines, spread evenly over the regions; the first is the leader. */
  ControlPlane(FanOutContext context) {
    this.context = context;
    int regions = context.settings().regions();
    int zonesPerRegion = context.settings().zonesPerRegion();
    for (int index = 0; index < context.settings().controlPlane().machines(); index++) {
      int region = index % regions;
      int zone = region * zonesPerRegion + index / regions % zonesPerRegion;
      machines.add(new ControlMachine(index, new Location(region, zone), context, this));
    }
    leader = machines.get(0);
    machines.stream().skip(1).forEach(machine -> machine.client().start());
  }

  private record PendingChange(EndpointEntry entry, long enteredNanos, EventKind kind) {}

  /** All machines in order of their index. */
  List<ControlMachine> machines() {
    return machines;
  }

  /** The machines of a region. */
  List<ControlMachine> machinesOf(int region) {
    return machines.stream().filter(machine -> machine.location().region() == region).toList();
  }

  /** Gives a change to discovery. */
  void enter(EndpointEntry entry, EventKind kind) {
    PendingChange change = new PendingChange(entry, context.simulation().nowNanos(), kind);
    long commitNanos = Durations.millisToNanos(context.settings().controlPlane().commitMs());
    context.simulation().schedule(commitNanos, () -> commit(change));
  }

  private void commit(PendingChange change) {
    pendingChanges.add(change);
    commitPending();
  }

  private void commitPending() {
    if (!hasLeader) {
      return;
    }
    while (!pendingChanges.isEmpty()) {
      PendingChange change = pendingChanges.remove();
      context.log().append(change.entry(), change.enteredNanos(), change.kind());
    }
    if (leader.version() < context.log().lastVersion()) {
      leader.advanceTo(context.log().lastVersion());
    }
  }

  /** The machine that another one replicates from. */
  ControlMachine upstreamOf(ControlMachine machine) {
    boolean isTree = context.settings().controlPlane().replication() == Replication.REGIONAL_TREE;
    int region = machine.location().region();
    if (!isTree || region == leader.location().region()) {
      return leader;
    }
    return machinesOf(region).stream()
        .filter(ControlMachine::isRunning)
        .findFirst()
        .filter(head -> !head.replicatesFrom(machine))
        .orElse(leader);
  }

  /** Whether changes enter at this machine. */
  boolean isLeader(ControlMachine machine) {
    return hasLeader && machine == leader;
  }

  /** Stops a machine; its watchers notice it after the time for a silent connection. */
  void fail(ControlMachine machine) {
    machine.stop(detectionNanos());
    checkLeader();
  }

  /** Stops all machines; their watchers notice it at once, since the connections are reset. */
  void stopAll() {
    machines.forEach(machine -> machine.stop(0));
    checkLeader();
  }

  /** Starts a stopped machine. */
  void start(ControlMachine machine) {
    machine.start();
    if (machine != leader || !hasLeader) {
      machine.client().start();
    }
  }

  /** Cuts a region off; connections over the cut fail. */
  void cut(int region) {
    context.network().setCut(region, true);
    for (ControlMachine machine : machines) {
      for (Watch watch : machine.watches()) {
        if (!context.network().isReachable(machine.location(), watch.watcher().location())) {
          machine.remove(watch);
          watch.fail(detectionNanos());
        }
      }
    }
    checkLeader();
  }

  /** Connects a region again. */
  void reconnect(int region) {
    context.network().setCut(region, false);
  }

  private long detectionNanos() {
    return Durations.millisToNanos(context.settings().agent().detectionMs());
  }

  private void checkLeader() {
    if (hasLeader && !reachesMajority(leader)) {
      hasLeader = false;
      scheduleElection();
      if (leader.isRunning()) {
        leader.client().start();
      }
    }
  }

  private boolean reachesMajority(ControlMachine machine) {
    long reached =
        machines.stream()
            .filter(ControlMachine::isRunning)
            .filter(other -> context.network().isReachable(machine.location(), other.location()))
            .count();
    return machine.isRunning() && 2 * reached > machines.size();
  }

  private void scheduleElection() {
    long takeoverNanos = Durations.millisToNanos(context.settings().controlPlane().takeoverMs());
    context.simulation().schedule(takeoverNanos, this::elect);
  }

  /** Makes the machine with the latest version the leader; the committed log is known to it. */
  private void elect() {
    Optional<ControlMachine> elected =
        machines.stream()
            .filter(this::reachesMajority)
            .max(
                Comparator.comparingLong(ControlMachine::version)
                    .thenComparing(Comparator.comparingInt(ControlMachine::index).reversed()));
    if (elected.isEmpty()) {
      scheduleElection();
      return;
    }
    leader = elected.get();
    hasLeader = true;
    leader.client().stop();
    commitPending();
  }
}
