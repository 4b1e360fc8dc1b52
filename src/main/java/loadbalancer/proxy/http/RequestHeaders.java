package loadbalancer.proxy.http;

/** Names of the request headers that the protocol defines or that the proxy interprets. */
public final class RequestHeaders {

  /** The request's id, unique for every request; a client's retry has an id of its own. */
  public static final String CORRELATION_ID = "X-Correlation-Id";

  /** The name of the request class. */
  public static final String SERVICE_CLASS = "X-Service-Class";

  /** The tenant; required if the settings define tenants. */
  public static final String ACCOUNT = "X-Account";

  /** The affinity key: requests with the same key are sent to the same endpoint if possible. */
  public static final String SESSION_KEY = "X-Session-Key";

  /** How long the sender (client or balancer) waits for the response, in whole milliseconds. */
  public static final String TIME_LEFT_MILLIS = "X-Time-Left-Ms";

  /** The idempotency key, by which upstreams recognize a repeated request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The client's estimate of the work, in whole microseconds of time on a standard core. */
  public static final String WORK_HINT_MICROS = "X-Weight-Hint";

  /** {@code 1} on a client's retry of an earlier request; optional. */
  public static final String CLIENT_RETRY = "X-Repeat";

  private RequestHeaders() {}
}
