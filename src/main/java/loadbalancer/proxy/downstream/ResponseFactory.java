package loadbalancer.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;

/** Creates the responses to clients. All but {@link #continueRequest} have a Content-Length. */
final class ResponseFactory {

  private static final String TEXT_PLAIN = "text/plain";
  private static final byte[] NO_BODY = {};

  /** {@code Retry-After} is sent in seconds with this many decimal places. */
  private static final int RETRY_AFTER_DECIMALS = 3;

  private ResponseFactory() {}

  /** Creates a 200 with the body and, if there is one, the content type of an upstream response. */
  static FullHttpResponse served(UpstreamResponse response) {
    FullHttpResponse served = response(HttpResponseStatus.OK, response.body());
    if (response.contentType() != null) {
      served.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    }
    return served;
  }

  /**
   * Creates a 429: the request was rejected, and the client may safely send it again.
   *
   * @param retryAfterNanos how long the client should wait before that, in nanoseconds; 0 to send
   *     no {@code Retry-After}
   */
  static FullHttpResponse rejected(long retryAfterNanos) {
    FullHttpResponse rejected = response(HttpResponseStatus.TOO_MANY_REQUESTS, NO_BODY);
    if (retryAfterNanos > 0) {
      long retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(retryAfterNanos);
      rejected
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              BigDecimal.valueOf(retryAfterMillis, RETRY_AFTER_DECIMALS).toPlainString());
    }
    return rejected;
  }

  /** Creates a 502 without a body: the request failed, possibly after it was processed. */
  static FullHttpResponse failed() {
    return response(HttpResponseStatus.BAD_GATEWAY, NO_BODY);
  }

  /** Creates a 100, which asks the client to send the body of its request. */
  static FullHttpResponse continueRequest() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
  }

  /** Creates the response to a readiness check: 200 if ready, otherwise 503. */
  static FullHttpResponse readiness(boolean isReady) {
    return text(isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
  }

  /** Creates the response to an invalid or incomplete request, with the reason as its body. */
  static FullHttpResponse invalidRequest(InvalidRequestException reason) {
    return text(HttpResponseStatus.valueOf(reason.status()), reason.getMessage());
  }

  /**
   * Creates the response to a complete request that is invalid. A response to HEAD has no body: the
   * client would parse it as the next response.
   */
  static FullHttpResponse invalidRequest(InvalidRequestException reason, HttpMethod method) {
    return method.equals(HttpMethod.HEAD)
        ? text(HttpResponseStatus.valueOf(reason.status()), "")
        : invalidRequest(reason);
  }

  private static FullHttpResponse text(HttpResponseStatus status, String text) {
    FullHttpResponse response = response(status, text.getBytes(StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, TEXT_PLAIN);
    return response;
  }

  private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response;
  }
}
