package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * The rules that are checked right before an attempt's first byte is written, which may be a
 * connect later than the policy's decision. All state belongs to the event loop.
 */
final class ForwardingRules {

  private final int maxAttempts;
  private final RequestCompleter completer;
  private final EpochClock clock;

  /**
   * Makes the rules.
   *
   * @param maxAttempts the most attempts of one request
   * @param completer completes a request whose client is found disconnected
   * @param clock the balancer's clock
   */
  ForwardingRules(int maxAttempts, RequestCompleter completer, EpochClock clock) {
    this.maxAttempts = maxAttempts;
    this.completer = completer;
    this.clock = clock;
  }

  /**
   * Whether an attempt may still be forwarded: the request is open and its client connected, the
   * endpoint is not draining, and the request cannot run twice by it.
   *
   * @param request the request
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
        && request.isRepeatHarmless(clock.nowNanos());
  }
}
