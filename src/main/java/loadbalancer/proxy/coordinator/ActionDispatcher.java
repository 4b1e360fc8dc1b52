package loadbalancer.proxy.coordinator;

import java.util.function.Consumer;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FailRequest;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.LogMessage;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * Has each of the policy's actions carried out by the class that is responsible for its kind. For
 * the event loop's thread only.
 */
final class ActionDispatcher implements Consumer<Action> {

  private final AttemptForwarder forwarder;
  private final RequestCompleter completer;
  private final PolicyTimers timers;
  private final EndpointListHandler endpointLists;

  /**
   * Makes a dispatcher.
   *
   * @param forwarder forwards and cancels attempts
   * @param completer rejects and fails requests
   * @param timers sets timers
   * @param endpointLists switches the watch of the endpoint list
   */
  ActionDispatcher(
      AttemptForwarder forwarder,
      RequestCompleter completer,
      PolicyTimers timers,
      EndpointListHandler endpointLists) {
    this.forwarder = forwarder;
    this.completer = completer;
    this.timers = timers;
    this.endpointLists = endpointLists;
  }

  /**
   * Carries out an action.
   *
   * @throws PolicyDefectException if this proxy has no use for the kind of action: health checks,
   *     peer messages, fetches of the list and closes of idle connections
   */
  @Override
  public void accept(Action action) {
    if (action instanceof ForwardAttempt forwardAttempt) {
      forwarder.forward(forwardAttempt);
    } else if (action instanceof CancelAttempt cancelAttempt) {
      forwarder.cancel(cancelAttempt);
    } else if (action instanceof RejectRequest rejectRequest) {
      completer.reject(rejectRequest);
    } else if (action instanceof FailRequest failRequest) {
      completer.fail(failRequest);
    } else if (action instanceof SetTimer setTimer) {
      timers.set(setTimer);
    } else if (action instanceof WatchEndpoints watchEndpoints) {
      endpointLists.switchWatch(watchEndpoints);
    } else if (action instanceof LogMessage logMessage) {
      EventLog.infoRateLimited("policy: " + logMessage.text());
    } else {
      throw new PolicyDefectException("unsupported action: " + action.getClass().getSimpleName());
    }
  }
}
