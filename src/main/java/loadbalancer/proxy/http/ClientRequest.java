package loadbalancer.proxy.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;

/** A client's request, checked against the protocol and the settings. */
public record ClientRequest(
    String requestId,
    RequestClass type,
    String tenant,
    String key,
    long leftNanos,
    long hintNanos,
    boolean clientRetry,
    HttpMethod method,
    String uri,
    String host,
    String idempotencyKey,
    String contentType,
    byte[] body) {

  public static final String ID = "X-Correlation-Id";
  public static final String TIME_LEFT = "X-Time-Left-Ms";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /**
   * The headers that say what a request is: each once, or readers would differ over which one
   * counts.
   */
  private static final List<String> ONCE =
      List.of(
          ID,
          "X-Service-Class",
          "X-Account",
          "X-Session-Key",
          TIME_LEFT,
          IDEMPOTENCY_KEY,
          "X-Weight-Hint",
          "X-Repeat",
          HttpHeaderNames.HOST.toString());

  public static ClientRequest of(HttpRequest head, byte[] body, PolicySettings settings)
      throws InvalidRequestException {
    HttpHeaders h = head.headers();
    for (String name : ONCE) {
      if (h.getAll(name).size() > 1) {
        throw new InvalidRequestException(400, "repeated " + name);
      }
    }
    String name = needed(h, "X-Service-Class");
    RequestClass type =
        settings.requestClasses().stream()
            .filter(c -> c.name().equals(name))
            .findFirst()
            .orElseThrow(() -> new InvalidRequestException(400, "unknown class"));
    String path = head.uri().split("\\?", 2)[0];
    if (!path.equals("/" + name) && !path.startsWith("/" + name + "/")) {
      throw new InvalidRequestException(400, "the path does not begin with the class");
    }
    String tenant = h.get("X-Account");
    if (!settings.tenants().isEmpty()
        && settings.tenants().stream().noneMatch(t -> t.name().equals(tenant))) {
      throw new InvalidRequestException(400, "unknown tenant");
    }
    if (!head.method()
        .equals(type.effect() == RequestEffect.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST)) {
      throw new InvalidRequestException(405, "wrong method for the class");
    }
    String idempotencyKey = h.get(IDEMPOTENCY_KEY);
    if (type.effect() == RequestEffect.IDEMPOTENT_WITH_KEY && idempotencyKey == null) {
      throw new InvalidRequestException(400, "no " + IDEMPOTENCY_KEY);
    }
    long left = number(TIME_LEFT, needed(h, TIME_LEFT)) * 1_000_000L;
    long hint = number("X-Weight-Hint", h.get("X-Weight-Hint", "0")) * 1_000L;
    return new ClientRequest(
        needed(h, ID),
        type,
        tenant,
        h.get("X-Session-Key"),
        Math.min(left, type.deadlineNanos()),
        hint,
        "1".equals(h.get("X-Repeat")),
        head.method(),
        head.uri(),
        h.get(HttpHeaderNames.HOST, ""),
        idempotencyKey,
        h.get(HttpHeaderNames.CONTENT_TYPE),
        body);
  }

  private static String needed(HttpHeaders headers, String name) throws InvalidRequestException {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      throw new InvalidRequestException(400, "no " + name);
    }
    return value;
  }

  /** A count that stays far from overflow when it is turned into nanoseconds. */
  private static long number(String name, String text) throws InvalidRequestException {
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= 1_000_000_000_000L) {
        return Math.min(value, 1_000_000_000L);
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw new InvalidRequestException(400, "bad " + name);
  }
}
