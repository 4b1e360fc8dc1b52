package loadbalancer.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.http.UpstreamResponse;

/** Makes the responses to clients. */
final class ResponseFactory {

  private static final String TEXT_PLAIN = "text/plain";
  private static final byte[] NO_BODY = {};

  /** {@code Retry-After} is written in seconds with this many decimals. */
  private static final int RETRY_AFTER_DECIMALS = 3;

  private ResponseFactory() {}

  /** 200 with the body and content type of an upstream's response. */
  static FullHttpResponse served(UpstreamResponse response) {
    FullHttpResponse served = response(HttpResponseStatus.OK, response.body());
    if (response.contentType() != null) {
      served.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    }
    return served;
  }

  /**
   * 429: the request was rejected, and a retry is harmless.
   *
   * @param retryAfterNanos when to retry, in nanoseconds from now; 0 to leave that to the client
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

  /** 502: the request has failed. */
  static FullHttpResponse failed() {
    return response(HttpResponseStatus.BAD_GATEWAY, NO_BODY);
  }

  /** 100: asks the client for the body of the request that it has announced. */
  static FullHttpResponse continueRequest() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
  }

  /** 200 or 503 to a readiness check. */
  static FullHttpResponse readiness(boolean isReady) {
    return text(isReady ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
  }

  /** An error of the client, with its explanation as the body. */
  static FullHttpResponse clientError(HttpResponseStatus status, String explanation) {
    return text(status, explanation);
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
