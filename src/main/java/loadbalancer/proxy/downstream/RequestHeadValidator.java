package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Checks of a request's framing, at its head: guards against a request that hides another in its
 * body, and against bodies that would be read only to be refused.
 */
final class RequestHeadValidator {

  private RequestHeadValidator() {}

  static void check(HttpRequest head) throws InvalidRequestException {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      throw new InvalidRequestException(505, "HTTP/1.1 only");
    }
    List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() + codings.size() > 1
        || !codings.isEmpty()
            && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
      throw new InvalidRequestException(400, "more than one way to tell where the body ends");
    }
    if (HttpUtil.getContentLength(head, 0L) > UpstreamResponse.MAX_BODY_BYTES) {
      throw new InvalidRequestException(413, "body over 64 KiB");
    }
  }
}
