package loadbalancer.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import loadbalancer.proxy.coordinator.DownstreamClient;
import loadbalancer.proxy.downstream.RequestAssembler.AssembledRequest;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * Handles one client connection: receives one request at a time, submits it to the coordinator and
 * writes the response. Not thread-safe: all methods must be called on the event loop.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements DownstreamClient, RawBytesFilter {

  private final DownstreamServer server;
  private final ConnectionTimes times = new ConnectionTimes();
  private final DiscardedInput discardedInput = new DiscardedInput();
  private final RequestAssembler assembler;
  private ChannelHandlerContext context;
  private ReadControl readControl;
  private ResponseWriter writer;
  private ConnectionState state = ConnectionState.AWAITING_REQUEST;

  /** The id of the request in flight; stale or null if there is none. */
  private String requestInFlightId;

  /** Whether the connection may stay open after the next response. */
  private boolean isKeepAlive;

  /** Creates the handler of a connection that the given server has accepted. */
  public ClientConnection(DownstreamServer server) {
    this.server = server;
    assembler = new RequestAssembler(server.newRequestMemory());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
    writer = new ResponseWriter(handlerContext, server.responseMemory());
    readControl = new ReadControl(handlerContext, () -> state);
  }

  /** Returns whether the connection awaits a request, no byte of which has been received. */
  public boolean isIdle() {
    return isAwaitingRequest() && !times.hasRequestStarted();
  }

  /** Returns whether no complete request is in flight and the connection is not closing. */
  public boolean isAwaitingRequest() {
    return state == ConnectionState.AWAITING_REQUEST;
  }

  /** Returns whether the connection awaits its first request, part of which may have arrived. */
  boolean isAwaitingFirstRequest() {
    return isAwaitingRequest() && !times.hasResponded();
  }

  /** Returns whether the connection is idle and its client has been sent at least one response. */
  boolean isIdleAfterResponse() {
    return isIdle() && times.hasResponded() && !writer.hasPendingWrites();
  }

  /** Returns the timestamps from which the time limits are computed. */
  ConnectionTimes times() {
    return times;
  }

  /**
   * Returns how long an incomplete request has been arriving, in nanoseconds: since the connect for
   * the first request, since its first byte for a later one. Returns 0 if no request has started.
   */
  long receivingNanos(long nowNanos) {
    return isAwaitingRequest() ? times.requestAgeNanos(nowNanos) : 0;
  }

  /** Closes the connection; responds 408 first if a request has arrived in part. */
  void endIncompleteRequest() {
    if (isIdle()) {
      closeAfterWrites();
      return;
    }
    rejectInput(
        new InvalidRequestException(
            HttpResponseStatus.REQUEST_TIMEOUT.code(), "complete request not received in time"));
  }

  /** Returns the memory of the request that the connection is receiving. */
  RequestMemory memory() {
    return assembler.memory();
  }

  /** Returns what writes the responses and closes the connection. */
  ResponseWriter writer() {
    return writer;
  }

  /** Closes the connection after all pending writes, so that no response is truncated. */
  void closeAfterWrites() {
    // Leaves the idle state, so that the connection is not selected for closing a second time.
    state = state.discardingInput();
    writer.closeAfterWrites();
  }

  /**
   * Accepts the bytes of the next request; discards bytes that follow a request in flight. There
   * are no bytes if those of an earlier read are decoded now.
   */
  @Override
  public boolean accepts(ByteBuf bytes) {
    if (!isAwaitingRequest()) {
      discard(bytes.readableBytes());
      return false;
    }
    if (bytes.isReadable()) {
      times.bytesRead();
    }
    times.requestStarted();
    try {
      assembler.reserveHead();
      return true;
    } catch (InvalidRequestException e) {
      rejectInput(e);
      return false;
    }
  }

  /**
   * Returns whether the client of the request in flight is still connected. The end of the stream
   * can be seen only after all preceding input, so this reads and discards what the socket holds.
   */
  @Override
  public boolean isConnected() {
    int discarded = discardedInput.skipUnread(context.channel());
    if (discarded > 0) {
      discard(discarded);
    } else if (discarded < 0) {
      // The return value reports the disconnect. channelInactive would report it too late: another
      // connection may have submitted a request with the same id by then.
      state = state.afterRequest();
      writer.abort();
    }
    return state.hasRequestInFlight();
  }

  private void discard(int bytes) {
    state = state.discardingInput();
    isKeepAlive = false;
    discardedInput.add(bytes);
    if (discardedInput.exceedsLimit() && state.hasRequestInFlight()) {
      String requestId = requestInFlightId;
      respond(ResponseFactory.invalidRequest(DiscardedInput.limitExceeded()));
      server.clientDisconnected(requestId);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (state.isDiscardingInput()) {
      return;
    }
    if (state.hasRequestInFlight() && message instanceof HttpRequest) {
      // Pipelining: the request in flight is still served, and the connection closes after that.
      isKeepAlive = false;
      state = state.discardingInput();
      return;
    }
    try {
      receive(message);
    } catch (InvalidRequestException e) {
      rejectInput(e);
    }
  }

  private void receive(HttpObject message) throws InvalidRequestException {
    AssembledRequest complete = assembler.add(message);
    if (message instanceof HttpRequest head && HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(ResponseFactory.continueRequest());
    }
    if (complete != null) {
      handleCompleteRequest(complete.head(), complete.body());
    }
  }

  private void handleCompleteRequest(HttpRequest head, byte[] body) {
    isKeepAlive = HttpUtil.isKeepAlive(head);
    if (server.readiness().isCheck(head, body)) {
      respond(ResponseFactory.readiness(server.readiness().isReadyFor(head.uri())));
      return;
    }
    try {
      submit(server.requestParser().parse(head, body, times.sinceLastReadNanos()));
    } catch (InvalidRequestException e) {
      respond(ResponseFactory.invalidRequest(e, head.method()));
      readControl.startPenalty();
    }
    readControl.update();
  }

  private void submit(ClientRequest request) throws InvalidRequestException {
    requestInFlightId = request.requestId();
    state = ConnectionState.IN_FLIGHT;
    MemoryBudget.Reservation reservation = memory().handOver();
    if (!server.submit(request, reservation, this)) {
      reservation.release();
      state = state.afterRequest();
      String explanation = RequestHeaders.CORRELATION_ID + ": a request with this id came before";
      throw new InvalidRequestException(HttpResponseStatus.CONFLICT.code(), explanation);
    }
  }

  /**
   * Responds to invalid or incomplete input and stops receiving requests. If a request is in
   * flight, the reason is not sent: that request gets its own response, which is then the last one.
   */
  void rejectInput(InvalidRequestException reason) {
    isKeepAlive = false;
    assembler.abort();
    state = state.discardingInput();
    if (!state.hasRequestInFlight()) {
      respond(ResponseFactory.invalidRequest(reason));
    }
  }

  /** Stops receiving requests from a client that does not read its responses. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    // Not at once: a flush inside of decoding may have made the channel writable.
    context.channel().eventLoop().execute(readControl::resume);
    readControl.update();
  }

  @Override
  public void sendResponse(UpstreamResponse response) {
    respond(ResponseFactory.served(response));
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    respond(ResponseFactory.rejected(retryAfterNanos));
  }

  @Override
  public void sendFailure() {
    respond(ResponseFactory.failed());
  }

  private void respond(FullHttpResponse response) {
    state = state.afterRequest();
    times.responseWritten();
    memory().release();
    if (!isKeepAlive || server.closesAfterResponse()) {
      writer.writeLast(response);
      state = state.discardingInput();
    } else {
      writer.write(response);
      readControl.endTurn();
    }
    readControl.update();
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    server.connectionClosed(this);
    assembler.abort();
    memory().release();
    if (state.hasRequestInFlight()) {
      state = state.afterRequest();
      server.clientDisconnected(requestInFlightId);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    if (!(cause instanceof IOException)) {
      EventLog.warnRateLimited(
          "downstream: connection error peer="
              + handlerContext.channel().remoteAddress()
              + " cause="
              + cause);
    }
    handlerContext.close();
  }
}
