package loadbalancer.proxy.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListParser;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Applies updates of the endpoint list to the endpoint table and notifies the policy of them, in
 * the order in which they are received.
 *
 * <p>A short list is applied at once. A long one is compared with the table and its changes are
 * applied in slices, between which the event loop handles requests and timers; lists that arrive
 * meanwhile wait. The policy receives a long list of either kind as a sequence of {@link
 * EndpointListUpdate.Kind#DELTA} updates, at least one, so that the list ends a backoff even if it
 * changes nothing. The table never holds more endpoints than a list may have entries.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
final class EndpointListApplier {

  /** The maximum number of changes that are applied before the event loop turns to other work. */
  static final int MAX_CHANGES_PER_SLICE = 64;

  /** The same for entries that are compared only, which takes far less time. */
  static final int MAX_COMPARISONS_PER_SLICE = 500;

  private final ScheduledExecutorService eventLoop;
  private final EndpointTable endpoints;
  private final PolicyEventQueue policyEvents;
  private final Queue<EndpointList> waitingLists = new ArrayDeque<>();

  /** The remaining changes of the long list being applied; null if there is none. */
  private EndpointListChanges currentChanges;

  private boolean isSliceScheduled;

  /**
   * Creates an applier.
   *
   * @param eventLoop runs the slices
   * @param endpoints the table that lists are applied to
   * @param policyEvents notifies the policy
   */
  EndpointListApplier(
      ScheduledExecutorService eventLoop, EndpointTable endpoints, PolicyEventQueue policyEvents) {
    this.eventLoop = eventLoop;
    this.endpoints = endpoints;
    this.policyEvents = policyEvents;
  }

  /** Applies a list of any length completely before returning; called before all other lists. */
  void applyCached(EndpointList list) {
    endpoints.applyFullList(list.endpoints());
    notifyPolicy(EndpointListUpdate.Kind.CACHED, list.endpoints());
  }

  /** Applies a list after those before it: at once, or its first slice, if none is waiting. */
  void apply(EndpointList list) {
    waitingLists.add(list);
    if (!isSliceScheduled) {
      runSlice();
    }
  }

  /** Whether any part of a list has not been applied yet. */
  boolean isApplying() {
    return currentChanges != null || !waitingLists.isEmpty();
  }

  private void runScheduledSlice() {
    isSliceScheduled = false;
    runSlice();
  }

  private void runSlice() {
    if (currentChanges != null) {
      continueCurrentChanges();
    } else {
      startNextList(waitingLists.remove());
    }
    if (isApplying()) {
      isSliceScheduled = true;
      // A task passed to execute() would run before the loop turns to its sockets again.
      eventLoop.schedule(this::runScheduledSlice, 0, TimeUnit.NANOSECONDS);
    }
  }

  private void startNextList(EndpointList list) {
    if (isLong(list)) {
      currentChanges = new EndpointListChanges(endpoints, list);
      continueCurrentChanges();
    } else if (list.full()) {
      endpoints.applyFullList(list.endpoints());
      notifyPolicy(EndpointListUpdate.Kind.FULL, list.endpoints());
    } else {
      applyChanges(list.endpoints());
    }
  }

  /** Whether a list may make more changes than one slice; a full list can remove any endpoint. */
  private boolean isLong(EndpointList list) {
    return list.endpoints().size() > MAX_CHANGES_PER_SLICE
        || (list.full() && endpoints.size() > MAX_CHANGES_PER_SLICE);
  }

  private void continueCurrentChanges() {
    if (!currentChanges.isCompared()) {
      currentChanges.compareNext(MAX_COMPARISONS_PER_SLICE);
      return;
    }
    applyChanges(currentChanges.takeNext(MAX_CHANGES_PER_SLICE));
    if (currentChanges.isEmpty()) {
      currentChanges = null;
    }
  }

  private void applyChanges(List<EndpointList.Endpoint> changedEntries) {
    List<EndpointList.Endpoint> applied = withinTableLimit(changedEntries);
    endpoints.applyChanges(applied);
    notifyPolicy(EndpointListUpdate.Kind.DELTA, applied);
  }

  /** Leaves out the new endpoints that the table has no room for. */
  private List<EndpointList.Endpoint> withinTableLimit(List<EndpointList.Endpoint> entries) {
    int room = EndpointListParser.MAX_ENTRIES - endpoints.size();
    if (entries.size() <= room) {
      return entries;
    }
    List<EndpointList.Endpoint> applied = new ArrayList<>(entries.size());
    for (EndpointList.Endpoint entry : entries) {
      boolean isNew = endpoints.find(entry.descriptor().endpointId()) == null;
      if (!isNew || room > 0) {
        applied.add(entry);
      }
      if (isNew) {
        room--;
      }
    }
    if (applied.size() < entries.size()) {
      EventLog.warnRateLimited(
          "coordinator: endpoints ignored reason=table full count="
              + (entries.size() - applied.size()));
    }
    return applied;
  }

  private void notifyPolicy(EndpointListUpdate.Kind kind, List<EndpointList.Endpoint> entries) {
    List<EndpointDescriptor> descriptors =
        entries.stream().map(EndpointList.Endpoint::descriptor).toList();
    policyEvents.notifyPolicy(new EndpointListUpdate(kind, descriptors));
  }
}
