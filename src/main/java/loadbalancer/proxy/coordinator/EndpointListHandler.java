package loadbalancer.proxy.coordinator;

import java.util.List;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Applies updates of the endpoint list to the endpoint table, notifies the policy of them, and
 * starts and stops the watch as the policy decides. Confined to the event loop thread.
 */
final class EndpointListHandler {

  private final EndpointTable endpoints;
  private final PolicyEventQueue policyEvents;
  private EndpointWatch watch = isEnabled -> {};

  /**
   * Creates a handler. Until {@link #start} is called, starting or stopping the watch has no
   * effect.
   *
   * @param endpoints the table that updates are applied to
   * @param policyEvents notifies the policy
   */
  EndpointListHandler(EndpointTable endpoints, PolicyEventQueue policyEvents) {
    this.endpoints = endpoints;
    this.policyEvents = policyEvents;
  }

  /**
   * Loads the last known endpoint list and notifies the policy of it.
   *
   * @param cachedList the full list, possibly out of date
   * @param endpointWatch starts and stops the watch of the list from now on
   */
  void start(EndpointList cachedList, EndpointWatch endpointWatch) {
    watch = endpointWatch;
    endpoints.applyFullList(cachedList.endpoints());
    notifyPolicy(EndpointListUpdate.Kind.CACHED, cachedList);
  }

  /**
   * Applies an update, which holds the full list or only the entries that changed, and notifies the
   * policy.
   */
  void update(EndpointList list) {
    if (list.full()) {
      endpoints.applyFullList(list.endpoints());
      notifyPolicy(EndpointListUpdate.Kind.FULL, list);
    } else {
      endpoints.applyChanges(list.endpoints());
      notifyPolicy(EndpointListUpdate.Kind.DELTA, list);
    }
  }

  /** Notifies the policy that the watch failed; the table keeps its endpoints. */
  void watchFailed() {
    policyEvents.notifyPolicy(new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()));
  }

  /** Starts or stops the watch. */
  void setWatchEnabled(WatchEndpoints action) {
    watch.setEnabled(action.enabled());
  }

  private void notifyPolicy(EndpointListUpdate.Kind kind, EndpointList list) {
    List<EndpointDescriptor> entries =
        list.endpoints().stream().map(EndpointList.Endpoint::descriptor).toList();
    policyEvents.notifyPolicy(new EndpointListUpdate(kind, entries));
  }
}
