package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.proxy.http.BodyBuffer;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;

/**
 * Assembles the head and the body of the request that a connection is receiving, and checks its
 * framing and length. Not thread-safe: for use on the event loop.
 */
final class RequestAssembler {

  /** A complete request: its head and its body. */
  record AssembledRequest(HttpRequest head, byte[] body) {}

  private final RequestMemory memory;

  /** Null while no request is being received. */
  private HttpRequest head;

  /** Null while no request is being received. */
  private BodyBuffer body;

  /** The heap that the head takes. */
  private int headBytes;

  /** Creates an assembler that reserves memory for what it keeps. */
  RequestAssembler(RequestMemory memory) {
    this.memory = memory;
  }

  /** Returns the memory of the request being received. */
  RequestMemory memory() {
    return memory;
  }

  /**
   * Reserves the memory of a head that starts arriving, unless that has been done.
   *
   * @throws InvalidRequestException if no memory is left
   */
  void reserveHead() throws InvalidRequestException {
    if (!memory.isReserved()) {
      memory.resize(RequestMemory.MAX_HEAD_BYTES);
    }
  }

  /**
   * Adds a decoded part of a request. Parts of a body whose head was not valid are dropped.
   *
   * @return the complete request if this was its last part, otherwise null
   * @throws InvalidRequestException if the part is malformed; the version, the framing or the
   *     length is invalid; or no memory is left
   */
  AssembledRequest add(HttpObject part) throws InvalidRequestException {
    if (part.decoderResult().isFailure()) {
      throw new InvalidRequestException(HttpResponseStatus.BAD_REQUEST.code(), "malformed request");
    }
    if (part instanceof HttpRequest requestHead) {
      start(requestHead);
    }
    return part instanceof HttpContent chunk && head != null ? append(chunk) : null;
  }

  private void start(HttpRequest requestHead) throws InvalidRequestException {
    RequestHeadValidator.check(requestHead);
    headBytes = RequestMemory.headBytes(requestHead);
    memory.resize(headBytes);
    head = requestHead;
    body = new BodyBuffer();
  }

  private AssembledRequest append(HttpContent chunk) throws InvalidRequestException {
    if (!body.fits(chunk.content())) {
      throw new InvalidRequestException(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(),
          "body: must be at most " + UpstreamResponse.MAX_BODY_BYTES + " bytes");
    }
    memory.resize(headBytes + body.capacityWith(chunk.content()));
    body.append(chunk.content());
    if (!(chunk instanceof LastHttpContent)) {
      return null;
    }
    AssembledRequest complete = new AssembledRequest(head, body.toByteArray());
    abort();
    return complete;
  }

  /** Abandons an incomplete request; the caller has to discard the rest of it. */
  void abort() {
    head = null;
    body = null;
  }
}
