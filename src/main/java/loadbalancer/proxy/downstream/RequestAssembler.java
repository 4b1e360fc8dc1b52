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
 * Assembles the head and the body of the request that a connection is receiving, and checks its
 * framing and length. Not thread-safe: for use on the event loop.
 */
final class RequestAssembler {

  /** Null while no request is being received. */
  private HttpRequest head;

  /** Kept after {@link #finish} until the next request starts; null before the first one. */
  private ByteArrayOutputStream body;

  /**
   * Starts a request.
   *
   * @throws InvalidRequestException if the version, the framing or the announced length is invalid;
   *     no request is started then
   */
  void start(HttpRequest requestHead) throws InvalidRequestException {
    RequestHeadValidator.check(requestHead);
    head = requestHead;
    body = new ByteArrayOutputStream();
  }

  /** Returns whether a request has been started and neither finished nor aborted. */
  boolean isReceiving() {
    return head != null;
  }

  /**
   * Appends a chunk of the body.
   *
   * @return whether it was the last chunk
   * @throws InvalidRequestException if the body is longer than the protocol allows
   * @throws IOException never, since the body is held in memory; declared by the stream's interface
   */
  boolean append(HttpContent content) throws InvalidRequestException, IOException {
    ByteBuf chunk = content.content();
    chunk.readBytes(body, chunk.readableBytes());
    if (body.size() > UpstreamResponse.MAX_BODY_BYTES) {
      throw new InvalidRequestException(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
          "body: must be at most " + UpstreamResponse.MAX_BODY_BYTES + " bytes");
    }
    return content instanceof LastHttpContent;
  }

  /** Ends a complete request and returns its head. */
  HttpRequest finish() {
    HttpRequest completeHead = head;
    head = null;
    return completeHead;
  }

  /** Returns a copy of the body of the most recently finished request. */
  byte[] body() {
    return body.toByteArray();
  }

  /** Abandons an incomplete request; the caller has to discard the rest of it. */
  void abort() {
    head = null;
  }
}
