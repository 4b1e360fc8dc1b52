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
 * Passes each action of the policy to the class that carries out actions of its type. Confined to
 * the event loop thread.
 */
final class ActionDispatcher implements Consumer<Action> {

  private final AttemptForwarder forwarder;
  private final RequestCompleter completer;
  private final PolicyTimers timers;
  private final EndpointListHandler endpointLists;

  /**
   * Creates a dispatcher.
   *
   * @param forwarder forwards and cancels attempts
   * @param completer rejects and fails requests
   * @param timers starts the policy's timers
   * @param endpointLists starts and stops the watch of the endpoint list
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
   * @throws PolicyDefectException if this proxy does not support the type of action: {@code
   *     CheckHealth}, {@code SendPeerMessage}, {@code FetchEndpoints} or {@code
   *     CloseIdleConnections}
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
      endpointLists.setWatchEnabled(watchEndpoints);
    } else if (action instanceof LogMessage logMessage) {
      EventLog.infoRateLimited("policy: " + logMessage.text());
    } else {
      throw new PolicyDefectException("unsupported action: " + action.getClass().getSimpleName());
    }
  }
}
