package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.UpstreamResponse;

/**
 * A client that waits for the final response to its request. Called on the event loop thread. At
 * most one of the send methods is called, and only once.
 */
public interface DownstreamClient {

  /**
   * Whether the client is still connected. Checks the socket itself, since the event loop may not
   * have read the client's close yet.
   */
  boolean isConnected();

  /** Sends the response that an upstream returned. */
  void sendResponse(UpstreamResponse response);

  /**
   * Sends a rejection, which tells the client that it may safely retry the request.
   *
   * @param retryAfterNanos how long the client should wait before it retries, in nanoseconds; 0
   *     gives no advice
   */
  void sendRejection(long retryAfterNanos);

  /** Sends a failure, which does not tell whether an upstream ran the request. */
  void sendFailure();
}
