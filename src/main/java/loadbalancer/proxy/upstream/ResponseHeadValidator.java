package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;

/** Checks of a response's head, and the attempt status that it stands for. */
final class ResponseHeadValidator {

  /** Set by an upstream on a response to a request that it has not processed. */
  private static final String UNPROCESSED_HEADER = "X-Unprocessed";

  private ResponseHeadValidator() {}

  /**
   * Whether the head says in exactly one way where the body ends, and within the protocol's limit;
   * otherwise a complete response cannot be told from a truncated one. The codec rejects two
   * lengths, and a length beside chunked coding, in HTTP/1.1 only, so no other version is valid.
   */
  static boolean isValid(HttpResponse head) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
        || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      return false;
    }
    if (isInterim(head)) {
      return true;
    }
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return codings.size() == 1
          && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
          && !HttpUtil.isContentLengthSet(head);
    }
    return HttpUtil.isContentLengthSet(head)
        && HttpUtil.getContentLength(head) <= UpstreamResponse.MAX_BODY_BYTES;
  }

  /** Whether this is an interim response (1xx), which comes ahead of the final one. */
  static boolean isInterim(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /**
   * How an attempt ended that got this final response. Only {@code X-Unprocessed} proves that the
   * request never ran; a bare 503 may stand for one that did.
   */
  static AttemptStatus statusOf(HttpResponse head) {
    int code = head.status().code();
    if (code == HttpResponseStatus.OK.code()) {
      return AttemptStatus.SERVED;
    }
    boolean mayBeUnprocessed =
        code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
    return mayBeUnprocessed && "1".equals(head.headers().get(UNPROCESSED_HEADER))
        ? AttemptStatus.REJECTED
        : AttemptStatus.ERROR;
  }
}
