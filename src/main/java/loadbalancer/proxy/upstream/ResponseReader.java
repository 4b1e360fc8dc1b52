package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.proxy.http.BodyBuffer;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Assembles the responses on an upstream connection, one at a time, and detects input that is not
 * part of a valid response. Not thread-safe: used on the event loop only.
 */
final class ResponseReader {

  private static final byte[] STATUS_LINE_START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);

  /** A response with more interim responses before the final one is treated as malformed. */
  private static final int MAX_INTERIM_RESPONSES = 10;

  /** The memory reserved for the body. */
  private final MemoryBudget.Reservation memory;

  private BodyBuffer body = new BodyBuffer();
  private HttpResponse head;
  private long receivedBytes;
  private int interimResponses;
  private boolean isComplete;
  private boolean hasUnexpectedInput;

  /** Creates a reader that takes the memory of response bodies from a budget. */
  ResponseReader(MemoryBudget budget) {
    memory = budget.newReservation();
  }

  /** Prepares for the response to a request that is about to be written. */
  void expectResponse() {
    receivedBytes = 0;
    interimResponses = 0;
    isComplete = false;
    discardResponse();
  }

  /** Drops the response received so far, and releases its memory. */
  void discardResponse() {
    head = null;
    body = new BodyBuffer();
    memory.release();
  }

  /**
   * Whether these raw bytes can be part of the expected response. The start of the status line is
   * checked here, because the decoder reports an invalid one only at the end of the line.
   */
  boolean acceptBytes(ByteBuf bytes) {
    if (isComplete || hasUnexpectedInput) {
      hasUnexpectedInput = true;
      return false;
    }
    hasUnexpectedInput = !matchesStatusLineStart(bytes);
    receivedBytes += bytes.readableBytes();
    return !hasUnexpectedInput;
  }

  private boolean matchesStatusLineStart(ByteBuf bytes) {
    for (int i = 0;
        receivedBytes + i < STATUS_LINE_START.length && i < bytes.readableBytes();
        i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != STATUS_LINE_START[(int) receivedBytes + i]) {
        return false;
      }
    }
    return true;
  }

  /** Adds a decoded part of the response. */
  void read(HttpObject part) {
    if (isComplete || part.decoderResult().isFailure()) {
      hasUnexpectedInput = true;
      return;
    }
    if (part instanceof HttpResponse responseHead) {
      readHead(responseHead);
    }
    if (part instanceof HttpContent content && hasFinalResponseHead() && !hasUnexpectedInput) {
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

  /** A body that is too long, or for which no memory is left, makes the response malformed. */
  private void readContent(HttpContent content) {
    ByteBuf chunk = content.content();
    if (!body.fits(chunk) || !memory.tryResize(body.capacityWith(chunk))) {
      hasUnexpectedInput = true;
      return;
    }
    body.append(chunk);
    isComplete = content instanceof LastHttpContent;
  }

  /** Records that input was received while no response was expected. */
  void recordUnexpectedInput() {
    hasUnexpectedInput = true;
  }

  /**
   * Whether any input was received that belongs to no response or makes the response malformed.
   * Never reset, because such a connection must not be reused.
   */
  boolean hasUnexpectedInput() {
    return hasUnexpectedInput;
  }

  /** Whether the final response has been received completely. */
  boolean isComplete() {
    return isComplete;
  }

  /** Whether the head of the final response has been received; interim responses do not count. */
  boolean hasFinalResponseHead() {
    return head != null && !ResponseHeadValidator.isInterim(head);
  }

  /**
   * Whether any byte has been received since {@link #expectResponse}, interim responses included.
   */
  boolean hasReceivedBytes() {
    return receivedBytes > 0;
  }

  /** Whether the connection stays open after the response. Requires {@link #isComplete}. */
  boolean isKeepAlive() {
    return HttpUtil.isKeepAlive(head);
  }

  /** The status of the attempt that the response completes. Requires {@link #isComplete}. */
  AttemptStatus status() {
    return ResponseHeadValidator.statusOf(head);
  }

  /** The response with its body, which can be taken once. Requires {@link #isComplete}. */
  UpstreamResponse response() {
    return new UpstreamResponse(
        body.toByteArray(), head.headers().get(HttpHeaderNames.CONTENT_TYPE));
  }
}
