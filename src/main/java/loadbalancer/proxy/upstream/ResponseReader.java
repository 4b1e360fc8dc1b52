package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Puts together the response to one request at a time of an upstream connection, and records input
 * that cannot be part of it. All state belongs to the event loop.
 */
final class ResponseReader {

  private static final byte[] STATUS_LINE_START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);

  /** More interim responses ahead of the final one than this make the response malformed. */
  private static final int MAX_INTERIM_RESPONSES = 10;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpResponse head;
  private long receivedBytes;
  private int interimResponses;
  private boolean isComplete;
  private boolean hasUnexpectedInput;

  /** Starts the response to a request that is about to be written. */
  void expectResponse() {
    head = null;
    receivedBytes = 0;
    interimResponses = 0;
    isComplete = false;
    body.reset();
  }

  /**
   * Whether these bytes can be part of the response that is due. Bytes that a response cannot begin
   * with are found here, since the decoder would wait for the end of the line.
   */
  boolean acceptBytes(ByteBuf bytes) {
    if (isComplete || hasUnexpectedInput) {
      hasUnexpectedInput = true;
      return false;
    }
    hasUnexpectedInput = !continuesStatusLine(bytes);
    receivedBytes += bytes.readableBytes();
    return !hasUnexpectedInput;
  }

  private boolean continuesStatusLine(ByteBuf bytes) {
    for (int i = 0;
        receivedBytes + i < STATUS_LINE_START.length && i < bytes.readableBytes();
        i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != STATUS_LINE_START[(int) receivedBytes + i]) {
        return false;
      }
    }
    return true;
  }

  /** Takes in a decoded part of the response. */
  void read(HttpObject part) throws IOException {
    if (isComplete || part.decoderResult().isFailure()) {
      hasUnexpectedInput = true;
      return;
    }
    if (part instanceof HttpResponse responseHead) {
      readHead(responseHead);
    }
    if (part instanceof HttpContent content && isReadingFinalResponse() && !hasUnexpectedInput) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse responseHead) {
    head = responseHead;
    if (!ResponseHeadValidator.isValid(head)) {
      hasUnexpectedInput = true;
    } else if (ResponseHeadValidator.isInterim(head)) {
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        hasUnexpectedInput = true;
      }
    }
  }

  private void readContent(HttpContent content) throws IOException {
    content.content().readBytes(body, content.content().readableBytes());
    if (body.size() > UpstreamResponse.MAX_BODY_BYTES) {
      hasUnexpectedInput = true;
    } else if (content instanceof LastHttpContent) {
      isComplete = true;
    }
  }

  /** Records input where no response is due. */
  void recordUnexpectedInput() {
    hasUnexpectedInput = true;
  }

  /**
   * Whether anything came that belongs to no response, or makes the response malformed. Stays set:
   * the connection is not to be used again.
   */
  boolean hasUnexpectedInput() {
    return hasUnexpectedInput;
  }

  /** Whether the final response has come completely. */
  boolean isComplete() {
    return isComplete;
  }

  /** Whether the head of the final response has come, and not only of interim ones ahead of it. */
  boolean isReadingFinalResponse() {
    return head != null && !ResponseHeadValidator.isInterim(head);
  }

  /** Whether any byte has come since the request was written. */
  boolean hasReceivedBytes() {
    return receivedBytes > 0;
  }

  /** Whether the complete response leaves its connection open for another request. */
  boolean isKeepAlive() {
    return HttpUtil.isKeepAlive(head);
  }

  /** How an attempt ended that got the complete response. */
  AttemptStatus status() {
    return ResponseHeadValidator.statusOf(head);
  }

  /** The complete response. */
  UpstreamResponse response() {
    return new UpstreamResponse(
        body.toByteArray(), head.headers().get(HttpHeaderNames.CONTENT_TYPE));
  }
}
