package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import loadbalancer.proxy.http.RequestHeaders;

/**
 * Tells readiness checks from clients' requests, and whether the balancer is ready. Not
 * thread-safe: for use on the event loop, except {@link #setWarmUpPath}.
 */
final class Readiness {

  private static final String PATH = "/up";

  /** Headers that only a client's request has: its sender would take a 200 for its response. */
  private static final List<String> REQUEST_ONLY_HEADERS =
      List.of(
          RequestHeaders.CORRELATION_ID,
          RequestHeaders.SERVICE_CLASS,
          RequestHeaders.IDEMPOTENCY_KEY);

  private boolean isWarmedUp;
  private boolean isShuttingDown;

  /** Null if there is no warm-up or it has ended. */
  private String warmUpPath;

  /** Sets the path of the warm-up's requests; must be called before the first connection. */
  void setWarmUpPath(String path) {
    warmUpPath = path;
  }

  /** Ends the warm-up: readiness checks succeed until a graceful shutdown begins. */
  void setReady() {
    isWarmedUp = true;
    warmUpPath = null;
  }

  /** Makes readiness checks fail from now on. */
  void beginGracefulShutdown() {
    isShuttingDown = true;
  }

  /**
   * Returns whether a complete request is a readiness check or one of the warm-up's requests. Any
   * other request for the path, such as one that names a request class, is a client's request.
   */
  boolean isCheck(HttpRequest head, byte[] body) {
    if (isWarmUpPath(head.uri())) {
      return true;
    }
    return head.uri().equals(PATH)
        && head.method().equals(HttpMethod.GET)
        && body.length == 0
        && REQUEST_ONLY_HEADERS.stream().noneMatch(head.headers()::contains);
  }

  /** Returns whether a check with this URI gets status 200, otherwise 503. */
  boolean isReadyFor(String uri) {
    return isWarmUpPath(uri) || (isWarmedUp && !isShuttingDown);
  }

  /** Clients do not know this path, so they cannot get status 200 during the warm-up. */
  private boolean isWarmUpPath(String uri) {
    return uri.equals(warmUpPath);
  }
}
