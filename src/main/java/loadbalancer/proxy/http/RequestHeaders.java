package loadbalancer.proxy.http;

/** Names of the protocol's own request headers. */
public final class RequestHeaders {

  /** The request's id, fresh for every request, a client's retry included. */
  public static final String CORRELATION_ID = "X-Correlation-Id";

  /** The name of the request class. */
  public static final String SERVICE_CLASS = "X-Service-Class";

  /** The tenant, where the deployment has tenants. */
  public static final String ACCOUNT = "X-Account";

  /** What the request concerns, where requests have such a key. */
  public static final String SESSION_KEY = "X-Session-Key";

  /** How long the sender of the message waits for the response, in whole milliseconds. */
  public static final String TIME_LEFT_MILLIS = "X-Time-Left-Ms";

  /** The key by which upstreams recognize a repeat of the request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The work to expect, in whole microseconds on a standard core. */
  public static final String WORK_HINT_MICROS = "X-Weight-Hint";

  /** {@code 1} on a client's retry, where clients mark their retries. */
  public static final String CLIENT_RETRY = "X-Repeat";

  private RequestHeaders() {}
}
