package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.http.BoundedKey;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.RequestMessage;

/**
 * Parses a client's complete HTTP request and checks it against the protocol and the policy
 * settings. Error messages name the header at fault but never repeat its value, which may be long.
 */
final class ClientRequestParser {

  /** The largest value of a numeric header; a larger one makes the request invalid. */
  private static final long MAX_HEADER_NUMBER = 1_000_000_000_000L;

  /**
   * Larger valid values are clamped to this one, so that their conversion to nanoseconds cannot
   * overflow.
   */
  private static final long MAX_EFFECTIVE_NUMBER = 1_000_000_000L;

  private static final char MIN_VISIBLE_CHAR = '!';
  private static final char MAX_VISIBLE_CHAR = '~';

  /**
   * Headers that may occur only once: if one were repeated, the proxy and an upstream could use
   * different values.
   */
  private static final List<String> NON_REPEATABLE_HEADERS =
      List.of(
          RequestHeaders.CORRELATION_ID,
          RequestHeaders.SERVICE_CLASS,
          RequestHeaders.ACCOUNT,
          RequestHeaders.SESSION_KEY,
          RequestHeaders.TIME_LEFT_MILLIS,
          RequestHeaders.IDEMPOTENCY_KEY,
          RequestHeaders.WORK_HINT_MICROS,
          RequestHeaders.CLIENT_RETRY,
          HttpHeaderNames.HOST.toString());

  private final PolicySettings settings;

  /**
   * Creates a parser.
   *
   * @param settings defines the request classes and tenants that requests may name
   */
  ClientRequestParser(PolicySettings settings) {
    this.settings = settings;
  }

  /**
   * Parses a request whose framing has been checked by {@link RequestHeadValidator}.
   *
   * @param head the request line and headers
   * @param body the complete body
   * @param waitedNanos how long the request has waited since its receipt, in nanoseconds
   * @throws InvalidRequestException if the request violates the protocol or names an unknown
   *     request class or tenant
   */
  ClientRequest parse(HttpRequest head, byte[] body, long waitedNanos)
      throws InvalidRequestException {
    HttpHeaders headers = head.headers();
    checkNonRepeatableHeaders(headers);
    RequestClass requestClass = requestClass(headers);
    checkTarget(head.uri(), requestClass);
    String tenant = tenant(headers);
    checkMethod(head.method(), requestClass);
    String idempotencyKey = idempotencyKey(headers, requestClass);
    long timeLeftNanos = timeLeftNanos(headers);
    long workHintNanos = workHintNanos(headers);
    return new ClientRequest(
        requestId(headers),
        requestClass,
        tenant,
        BoundedKey.of(headers.get(RequestHeaders.SESSION_KEY)),
        Math.max(0, Math.min(timeLeftNanos, requestClass.deadlineNanos()) - waitedNanos),
        workHintNanos,
        "1".equals(headers.get(RequestHeaders.CLIENT_RETRY)),
        new RequestMessage(
            head.method(),
            head.uri(),
            headers.get(HttpHeaderNames.HOST, ""),
            idempotencyKey,
            headers.get(HttpHeaderNames.CONTENT_TYPE),
            body));
  }

  private static void checkNonRepeatableHeaders(HttpHeaders headers)
      throws InvalidRequestException {
    for (String name : NON_REPEATABLE_HEADERS) {
      if (headers.getAll(name).size() > 1) {
        throw badRequest(name + ": must occur at most once");
      }
    }
  }

  private static String requestId(HttpHeaders headers) throws InvalidRequestException {
    String id = required(headers, RequestHeaders.CORRELATION_ID);
    checkToken(RequestHeaders.CORRELATION_ID, id);
    return id;
  }

  private RequestClass requestClass(HttpHeaders headers) throws InvalidRequestException {
    String name = required(headers, RequestHeaders.SERVICE_CLASS);
    return settings.requestClasses().stream()
        .filter(candidate -> candidate.name().equals(name))
        .findFirst()
        .orElseThrow(() -> badRequest(RequestHeaders.SERVICE_CLASS + ": unknown request class"));
  }

  private static void checkTarget(String uri, RequestClass requestClass)
      throws InvalidRequestException {
    if (!isVisibleAscii(uri)) {
      throw badRequest("path and query: must consist of visible ASCII characters");
    }
    String path = uri.split("\\?", 2)[0];
    String classPath = "/" + requestClass.name();
    if (!path.equals(classPath) && !path.startsWith(classPath + "/")) {
      throw badRequest("path: must be " + classPath + " or start with " + classPath + "/");
    }
  }

  /** Returns the tenant; null if the settings define none, so that the names are bounded. */
  private String tenant(HttpHeaders headers) throws InvalidRequestException {
    if (settings.tenants().isEmpty()) {
      return null;
    }
    String name = headers.get(RequestHeaders.ACCOUNT);
    if (settings.tenants().stream().noneMatch(tenant -> tenant.name().equals(name))) {
      throw badRequest(RequestHeaders.ACCOUNT + ": must name a known tenant");
    }
    return name;
  }

  private static void checkMethod(HttpMethod method, RequestClass requestClass)
      throws InvalidRequestException {
    boolean idempotent = requestClass.effect() == RequestEffect.IDEMPOTENT;
    HttpMethod expected = idempotent ? HttpMethod.GET : HttpMethod.POST;
    if (!method.equals(expected)) {
      throw new InvalidRequestException(
          HttpResponseStatus.METHOD_NOT_ALLOWED.code(),
          "method: must be " + expected + " for request class " + requestClass.name());
    }
  }

  /** Returns the idempotency key; null if there is none and the request class needs none. */
  private static String idempotencyKey(HttpHeaders headers, RequestClass requestClass)
      throws InvalidRequestException {
    String key = headers.get(RequestHeaders.IDEMPOTENCY_KEY);
    if (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY && key == null) {
      throw badRequest(
          RequestHeaders.IDEMPOTENCY_KEY + ": required for request class " + requestClass.name());
    }
    if (key != null) {
      checkToken(RequestHeaders.IDEMPOTENCY_KEY, key);
    }
    return key;
  }

  private static long timeLeftNanos(HttpHeaders headers) throws InvalidRequestException {
    String text = required(headers, RequestHeaders.TIME_LEFT_MILLIS);
    return TimeUnit.MILLISECONDS.toNanos(number(RequestHeaders.TIME_LEFT_MILLIS, text));
  }

  private static long workHintNanos(HttpHeaders headers) throws InvalidRequestException {
    String text = headers.get(RequestHeaders.WORK_HINT_MICROS, "0");
    return TimeUnit.MICROSECONDS.toNanos(number(RequestHeaders.WORK_HINT_MICROS, text));
  }

  private static String required(HttpHeaders headers, String name) throws InvalidRequestException {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      throw badRequest(name + ": must be present and not empty");
    }
    return value;
  }

  /**
   * Checks a header that is forwarded. The decoder joins the lines of a folded value by a space, so
   * that the upstream would get a value that the client did not send.
   */
  private static void checkToken(String name, String value) throws InvalidRequestException {
    if (!isVisibleAscii(value)) {
      throw badRequest(name + ": must consist of visible ASCII characters");
    }
  }

  /**
   * Returns whether the text was received as visible ASCII characters only. Others would not be
   * forwarded as received: the decoder makes a char of each byte, and the encoder of the request
   * line writes chars above 0x7f as two bytes.
   */
  private static boolean isVisibleAscii(String text) {
    return text.chars().allMatch(c -> c >= MIN_VISIBLE_CHAR && c <= MAX_VISIBLE_CHAR);
  }

  private static long number(String name, String text) throws InvalidRequestException {
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= MAX_HEADER_NUMBER) {
        return Math.min(value, MAX_EFFECTIVE_NUMBER);
      }
    } catch (NumberFormatException e) {
      // Reported below, with the same message as a number out of range.
    }
    throw badRequest(name + ": must be a whole number from 0 to " + MAX_HEADER_NUMBER);
  }

  private static InvalidRequestException badRequest(String message) {
    return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST.code(), message);
  }
}
