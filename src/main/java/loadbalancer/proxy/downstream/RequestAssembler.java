package loadbalancer.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Collects the head and the body of the request that a connection is receiving, and checks its
 * framing and length.
 */
final class RequestAssembler {

  /** Null while no request is being received. */
  private HttpRequest head;

  private ByteArrayOutputStream body;

  /**
   * Starts a request.
   *
   * @throws InvalidRequestException if the framing is invalid; no request is started then
   */
  void start(HttpRequest requestHead) throws InvalidRequestException {
    RequestHeadValidator.check(requestHead);
    head = requestHead;
    body = new ByteArrayOutputStream();
  }

  /** Whether a request has started that was neither finished nor aborted. */
  boolean isReceiving() {
    return head != null;
  }

  /**
   * Adds a piece of the body; whether it was the last one.
   *
   * @throws InvalidRequestException if the body is longer than the protocol allows
   * @throws IOException declared by the stream, which holds the body in memory and never throws it
   */
  boolean append(HttpContent content) throws InvalidRequestException, IOException {
    ByteBuf piece = content.content();
    piece.readBytes(body, piece.readableBytes());
    if (body.size() > UpstreamResponse.MAX_BODY_BYTES) {
      throw new InvalidRequestException(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "body over 64 KiB");
    }
    return content instanceof LastHttpContent;
  }

  /** Ends a request that is complete; its head. */
  HttpRequest finish() {
    HttpRequest finished = head;
    head = null;
    return finished;
  }

  /** The body of the request that was finished last; a copy. */
  byte[] body() {
    return body.toByteArray();
  }

  /** Ends a request that is incomplete; the rest of it is to be discarded. */
  void abort() {
    head = null;
  }
}
