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

/** Validates the head of a response and derives the attempt's status from it. Stateless. */
final class ResponseHeadValidator {

  /** Set to {@code 1} by an upstream on the response to a request that it has not processed. */
  static final String UNPROCESSED_HEADER = "X-Unprocessed";

  private ResponseHeadValidator() {}

  /**
   * Whether the head determines the end of the body in at most one way, and a stated length is
   * within {@link UpstreamResponse#MAX_BODY_BYTES}. Without a length, the body ends with an orderly
   * close of the connection, while a reset leaves it incomplete. Only HTTP/1.1 is valid: for other
   * versions, Netty accepts two lengths, or a length together with chunked coding.
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
    return !HttpUtil.isContentLengthSet(head)
        || HttpUtil.getContentLength(head) <= UpstreamResponse.MAX_BODY_BYTES;
  }

  /** Whether this is the head of an interim response (1xx), which precedes the final one. */
  static boolean isInterim(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /**
   * The status of an attempt that received this final response. Only {@code X-Unprocessed} proves
   * that the request never ran; a 503 without it may follow a request that did run.
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
