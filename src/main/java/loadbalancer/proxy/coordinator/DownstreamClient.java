package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.UpstreamResponse;

/** Where the final answer of a request goes. */
public interface DownstreamClient {

  /** Whether the client still waits; it may have left unseen a moment ago. */
  boolean isConnected();

  void sendResponse(UpstreamResponse answer);

  void sendRejection(long retryAfterNanos);

  void sendFailure();
}
