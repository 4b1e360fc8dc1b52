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
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.RequestMessage;

/** Parses a complete HTTP request of a client and checks it against the protocol and settings. */
final class ClientRequestParser {

  /** The largest number that a header may hold; a larger one makes the request invalid. */
  private static final long MAX_HEADER_NUMBER = 1_000_000_000_000L;

  /** What a larger number is taken for, so that no conversion to nanoseconds overflows. */
  private static final long MAX_NUMBER_USED = 1_000_000_000L;

  /** The headers that identify a request: with two of one, readers could use different ones. */
  private static final List<String> SINGLE_HEADERS =
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
   * Makes a parser.
   *
   * @param settings the request classes and tenants that requests may name
   */
  ClientRequestParser(PolicySettings settings) {
    this.settings = settings;
  }

  /**
   * Parses a request whose framing has been checked by {@link RequestHeadValidator}.
   *
   * @param head the request line and headers
   * @param body the complete body
   * @throws InvalidRequestException if the request breaks the protocol or names an unknown class or
   *     tenant
   */
  ClientRequest parse(HttpRequest head, byte[] body) throws InvalidRequestException {
    HttpHeaders headers = head.headers();
    checkSingleHeaders(headers);
    RequestClass requestClass = requestClass(headers);
    checkPath(head.uri(), requestClass);
    String tenant = tenant(headers);
    checkMethod(head.method(), requestClass);
    String idempotencyKey = idempotencyKey(headers, requestClass);
    long timeLeftNanos = timeLeftNanos(headers);
    long workHintNanos = workHintNanos(headers);
    return new ClientRequest(
        required(headers, RequestHeaders.CORRELATION_ID),
        requestClass,
        tenant,
        headers.get(RequestHeaders.SESSION_KEY),
        Math.min(timeLeftNanos, requestClass.deadlineNanos()),
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

  private static void checkSingleHeaders(HttpHeaders headers) throws InvalidRequestException {
    for (String name : SINGLE_HEADERS) {
      if (headers.getAll(name).size() > 1) {
        throw badRequest("repeated " + name);
      }
    }
  }

  private RequestClass requestClass(HttpHeaders headers) throws InvalidRequestException {
    String name = required(headers, RequestHeaders.SERVICE_CLASS);
    return settings.requestClasses().stream()
        .filter(candidate -> candidate.name().equals(name))
        .findFirst()
        .orElseThrow(() -> badRequest("unknown class"));
  }

  private static void checkPath(String uri, RequestClass requestClass)
      throws InvalidRequestException {
    String path = uri.split("\\?", 2)[0];
    String classPath = "/" + requestClass.name();
    if (!path.equals(classPath) && !path.startsWith(classPath + "/")) {
      throw badRequest("the path does not begin with the class");
    }
  }

  private String tenant(HttpHeaders headers) throws InvalidRequestException {
    String name = headers.get(RequestHeaders.ACCOUNT);
    if (!settings.tenants().isEmpty()
        && settings.tenants().stream().noneMatch(tenant -> tenant.name().equals(name))) {
      throw badRequest("unknown tenant");
    }
    return name;
  }

  private static void checkMethod(HttpMethod method, RequestClass requestClass)
      throws InvalidRequestException {
    boolean idempotent = requestClass.effect() == RequestEffect.IDEMPOTENT;
    if (!method.equals(idempotent ? HttpMethod.GET : HttpMethod.POST)) {
      throw new InvalidRequestException(
          HttpResponseStatus.METHOD_NOT_ALLOWED.code(), "wrong method for the class");
    }
  }

  /** The idempotency key, or null for a class that needs none. */
  private static String idempotencyKey(HttpHeaders headers, RequestClass requestClass)
      throws InvalidRequestException {
    String key = headers.get(RequestHeaders.IDEMPOTENCY_KEY);
    if (requestClass.effect() == RequestEffect.IDEMPOTENT_WITH_KEY && key == null) {
      throw badRequest("no " + RequestHeaders.IDEMPOTENCY_KEY);
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
      throw badRequest("no " + name);
    }
    return value;
  }

  private static long number(String name, String text) throws InvalidRequestException {
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= MAX_HEADER_NUMBER) {
        return Math.min(value, MAX_NUMBER_USED);
      }
    } catch (NumberFormatException e) {
      // A number out of range gets the same response, below.
    }
    throw badRequest("bad " + name);
  }

  private static InvalidRequestException badRequest(String message) {
    return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST.code(), message);
  }
}
