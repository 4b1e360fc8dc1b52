package loadbalancer.proxy.coordinator;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * Passes updates of the endpoint list on to be applied, and starts and stops the watch as the
 * policy decides. Not thread-safe: used on the event loop only.
 */
final class EndpointListHandler {

  private final EndpointListApplier applier;
  private final PolicyEventQueue policyEvents;
  private EndpointWatch watch = isEnabled -> {};

  /**
   * Creates a handler. Until {@link #start} is called, starting or stopping the watch has no
   * effect.
   *
   * @param eventLoop runs the parts of long updates
   * @param endpoints the table that updates are applied to
   * @param policyEvents notifies the policy
   */
  EndpointListHandler(
      ScheduledExecutorService eventLoop, EndpointTable endpoints, PolicyEventQueue policyEvents) {
    applier = new EndpointListApplier(eventLoop, endpoints, policyEvents);
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
    applier.applyCached(cachedList);
  }

  /**
   * Applies an update, which holds the full list or only the entries that changed, and notifies the
   * policy. The rest of a long update is applied after this call returns.
   */
  void update(EndpointList list) {
    applier.apply(list);
  }

  /** Whether an update has not been applied to its end yet. */
  boolean isApplying() {
    return applier.isApplying();
  }

  /**
   * Notifies the policy that the watch failed; the table keeps its endpoints. A list that was
   * received before is still applied to its end. The policy is notified without waiting for that,
   * so that it does not delay the next watch; if it lasts until then, it ends the backoff again.
   */
  void watchFailed() {
    policyEvents.notifyPolicy(new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()));
  }

  /** Starts or stops the watch. */
  void setWatchEnabled(WatchEndpoints action) {
    watch.setEnabled(action.enabled());
  }
}
