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
 * Checks the framing of a request by its head. Rejects ambiguous framing, to prevent request
 * smuggling (RFC 9112, section 11.2), and a body that is too long, before it is read.
 */
final class RequestHeadValidator {

  private RequestHeadValidator() {}

  /**
   * Checks the HTTP version, the body's framing and its announced length.
   *
   * @throws InvalidRequestException if one of them is invalid, with the status and explanation for
   *     the response
   */
  static void check(HttpRequest head) throws InvalidRequestException {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      throw invalid(
          HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP version: must be HTTP/1.1");
    }
    if (isFramingAmbiguous(head)) {
      throw invalid(
          HttpResponseStatus.BAD_REQUEST,
          "framing: must be at most one Content-Length or one Transfer-Encoding: chunked");
    }
    long contentLength = HttpUtil.getContentLength(head, 0L);
    if (contentLength > UpstreamResponse.MAX_BODY_BYTES) {
      throw invalid(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
          "Content-Length: must be at most "
              + UpstreamResponse.MAX_BODY_BYTES
              + ", got "
              + contentLength);
    }
  }

  /**
   * Returns whether the end of the body is given more than once, or by a transfer coding other than
   * chunked.
   */
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
