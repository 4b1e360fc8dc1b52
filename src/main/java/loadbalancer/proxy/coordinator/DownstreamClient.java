package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.http.UpstreamResponse;

/** Where the final answer of a request goes. */
public interface DownstreamClient {

  /** Whether the client still waits; it may have left unseen a moment ago. */
  boolean here();

  void served(UpstreamResponse answer);

  void refused(long retryAfterNanos);

  void failed();
}
