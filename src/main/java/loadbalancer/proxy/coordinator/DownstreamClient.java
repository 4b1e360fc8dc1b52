package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.UpstreamResponse;

/**
 * The client that waits for a request's final response. Called on the event loop; at most one of
 * the methods that send is called, once.
 */
public interface DownstreamClient {

  /**
   * Whether the client still waits. Asks the socket, since the event loop may not have read the
   * client's close yet.
   */
  boolean isConnected();

  /** Sends an upstream's response. */
  void sendResponse(UpstreamResponse response);

  /**
   * Sends a rejection, which promises that the client may safely send the request again.
   *
   * @param retryAfterNanos how long the client should wait before that; 0 for no advice
   */
  void sendRejection(long retryAfterNanos);

  /** Sends a failure, with no promise of whether the request ran. */
  void sendFailure();
}
