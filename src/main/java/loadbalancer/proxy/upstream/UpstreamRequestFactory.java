package loadbalancer.proxy.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.RequestMessage;

/** Creates the HTTP requests that are written to upstreams. Stateless. */
final class UpstreamRequestFactory {

  private UpstreamRequestFactory() {}

  /**
   * Creates a request with the client's method, path, query, host, content type, body, request id
   * and idempotency key. The client's other headers are not forwarded.
   *
   * @param request the client's request
   * @param timeLeftMillis how long the balancer will wait for the response, sent in {@code
   *     X-Time-Left-Ms}
   */
  static FullHttpRequest create(ClientRequest request, long timeLeftMillis) {
    RequestMessage message = request.message();
    FullHttpRequest upstreamRequest =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            message.method(),
            message.uri(),
            Unpooled.wrappedBuffer(message.body()));
    HttpHeaders headers = upstreamRequest.headers();
    headers
        .set(HttpHeaderNames.HOST, message.host())
        .set(RequestHeaders.CORRELATION_ID, request.requestId())
        .set(RequestHeaders.TIME_LEFT_MILLIS, timeLeftMillis)
        .set(HttpHeaderNames.CONTENT_LENGTH, message.body().length);
    if (message.idempotencyKey() != null) {
      headers.set(RequestHeaders.IDEMPOTENCY_KEY, message.idempotencyKey());
    }
    if (message.contentType() != null) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, message.contentType());
    }
    return upstreamRequest;
  }
}
