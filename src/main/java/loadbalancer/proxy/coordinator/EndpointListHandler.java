package loadbalancer.proxy.coordinator;

import java.util.List;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Applies updates of the endpoint list to the endpoint table, notifies the policy of them and
 * switches the watch as the policy decides. All state belongs to the event loop.
 */
final class EndpointListHandler {

  private final EndpointTable endpoints;
  private final PolicyEventQueue policyEvents;
  private EndpointWatch watch = isEnabled -> {};

  /**
   * Makes a handler whose watch has no effect until {@link #start}.
   *
   * @param endpoints the table to keep up to date
   * @param policyEvents notifies the policy
   */
  EndpointListHandler(EndpointTable endpoints, PolicyEventQueue policyEvents) {
    this.endpoints = endpoints;
    this.policyEvents = policyEvents;
  }

  /**
   * Starts with the list as last known.
   *
   * @param known the full list, possibly out of date
   * @param endpointWatch switches the watch of the list from now on
   */
  void start(EndpointList known, EndpointWatch endpointWatch) {
    watch = endpointWatch;
    endpoints.applyFullList(known.endpoints());
    notifyPolicy(EndpointListUpdate.Kind.CACHED, known);
  }

  /** Applies a full list or the changes since the last update. */
  void update(EndpointList list) {
    if (list.full()) {
      endpoints.applyFullList(list.endpoints());
      notifyPolicy(EndpointListUpdate.Kind.FULL, list);
    } else {
      endpoints.applyChanges(list.endpoints());
      notifyPolicy(EndpointListUpdate.Kind.DELTA, list);
    }
  }

  /** Notifies the policy that the watch failed; the table stays as it is. */
  void watchFailed() {
    policyEvents.notifyPolicy(new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()));
  }

  /** Starts or ends the watch. */
  void switchWatch(WatchEndpoints action) {
    watch.setEnabled(action.enabled());
  }

  private void notifyPolicy(EndpointListUpdate.Kind kind, EndpointList list) {
    List<EndpointDescriptor> entries =
        list.endpoints().stream().map(EndpointList.Endpoint::descriptor).toList();
    policyEvents.notifyPolicy(new EndpointListUpdate(kind, entries));
  }
}
