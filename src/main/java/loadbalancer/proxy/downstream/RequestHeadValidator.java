package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Checks a request's framing by its head: prevents request smuggling (RFC 9112, section 11.2), and
 * rejects a body that is too long before it is read.
 */
final class RequestHeadValidator {

  private RequestHeadValidator() {}

  /**
   * Checks the version and the body's framing and announced length.
   *
   * @throws InvalidRequestException with the status and explanation of the response
   */
  static void check(HttpRequest head) throws InvalidRequestException {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      throw invalid(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 only");
    }
    if (isFramingAmbiguous(head)) {
      throw invalid(
          HttpResponseStatus.BAD_REQUEST, "more than one way to tell where the body ends");
    }
    if (HttpUtil.getContentLength(head, 0L) > UpstreamResponse.MAX_BODY_BYTES) {
      throw invalid(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
    }
  }

  /** Whether the body's end is given more than once, or by a transfer coding besides chunked. */
  private static boolean isFramingAmbiguous(HttpRequest head) {
    List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() + codings.size() > 1) {
      return true;
    }
    return !codings.isEmpty() && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
  }

  private static InvalidRequestException invalid(HttpResponseStatus status, String explanation) {
    return new InvalidRequestException(status.code(), explanation);
  }
}
