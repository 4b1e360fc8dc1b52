package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * Checks whether an attempt may still be forwarded, immediately before its first byte is written.
 * If the attempt had to open a connection, the state may have changed since the policy decided to
 * forward it. Confined to the event loop thread.
 */
final class ForwardingRules {

  private final int maxAttempts;
  private final RequestCompleter completer;
  private final EpochClock clock;

  /**
   * Creates the rules.
   *
   * @param maxAttempts the maximum number of attempts for one request
   * @param completer completes a request whose client has disconnected
   * @param clock the balancer's clock
   */
  ForwardingRules(int maxAttempts, RequestCompleter completer, EpochClock clock) {
    this.maxAttempts = maxAttempts;
    this.completer = completer;
    this.clock = clock;
  }

  /**
   * Whether an attempt may still be forwarded: the request has attempts left and no final response,
   * its client is connected, the endpoint is not draining, and the attempt cannot make the request
   * run twice. Completes the request if its client has disconnected.
   *
   * @param request the attempt's request
   * @param attemptIndex the attempt's index, counted from 0 in forwarding order
   * @param endpoint the endpoint that the attempt is forwarded to
   */
  boolean mayStillForward(OpenRequest request, int attemptIndex, UpstreamEndpoint endpoint) {
    if (attemptIndex >= maxAttempts) {
      return false;
    }
    if (!request.isCompleted() && !request.client().isConnected()) {
      completer.completeDisconnected(request);
    }
    return !request.isCompleted()
        && !endpoint.isDraining()
        && request.isSafeToForward(clock.nowNanos());
  }
}
