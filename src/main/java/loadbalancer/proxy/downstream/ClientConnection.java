package loadbalancer.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import loadbalancer.proxy.coordinator.DownstreamClient;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.InvalidRequestException;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * One client connection: receives one request at a time, submits it to the coordinator and writes
 * its response. Belongs to the event loop: all methods are to be called on its thread.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements DownstreamClient, RawBytesFilter {

  private final DownstreamServer server;
  private final ConnectionTimes times = new ConnectionTimes();
  private final DiscardedInput discardedInput = new DiscardedInput();
  private final RequestAssembler assembler = new RequestAssembler();
  private final ReadPenalty readPenalty = new ReadPenalty();
  private ChannelHandlerContext context;
  private ConnectionState state = ConnectionState.AWAITING_REQUEST;

  /** The id of the request in flight, if the state has one. */
  private String requestInFlightId;

  /** Whether the connection may stay open after the response to the last complete request. */
  private boolean isKeepAlive;

  /** Makes the handler of a connection to this server. */
  public ClientConnection(DownstreamServer server) {
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  /** Whether the connection is between two requests, with no byte of the next one received. */
  public boolean isIdle() {
    return isAwaitingRequest() && !times.hasRequestStarted();
  }

  /** Whether no complete request is in flight and the connection is not closing. */
  public boolean isAwaitingRequest() {
    return state == ConnectionState.AWAITING_REQUEST;
  }

  /** Whether the connection awaits its first request, which may have started. */
  boolean isNeverUsed() {
    return isAwaitingRequest() && !times.hasResponded();
  }

  /** Whether the connection is idle and has had a response. */
  boolean isIdleAfterUse() {
    return isIdle() && times.hasResponded();
  }

  /** When the connection last received, responded and stalled. */
  ConnectionTimes times() {
    return times;
  }

  /**
   * Time in nanoseconds for which an incomplete request has been received, counted from the connect
   * for the first one; 0 where none is.
   */
  long receivingNanos(long nowNanos) {
    return isAwaitingRequest() ? times.requestNanos(nowNanos) : 0;
  }

  /** Rejects a request that was not completed in time, and closes the connection. */
  void expire() {
    rejectInput(HttpResponseStatus.REQUEST_TIMEOUT, "the request took too long");
  }

  /** Closes at once, without waiting for what is still to be written. */
  void abort() {
    context.close();
  }

  /** Closes once all that was written has gone out, so that no response is cut short. */
  void closeAfterWrites() {
    // No longer idle, so that it is not selected for closing again while it closes.
    state = state.discardingInput();
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Passes on the bytes of a request, and discards what follows a request in flight. */
  @Override
  public boolean accepts(ByteBuf bytes) {
    if (isAwaitingRequest()) {
      times.requestBytesReceived();
      return true;
    }
    discard(bytes.readableBytes());
    return false;
  }

  /**
   * Whether the client of the request in flight is still connected. Reads ahead in the socket,
   * since a disconnect lies behind all other unread input, and discards that input.
   */
  @Override
  public boolean isConnected() {
    int discarded = discardedInput.skipUnread(context.channel());
    if (discarded > 0) {
      discard(discarded);
    } else if (discarded < 0) {
      // This result notifies the caller. A notification when the close is read would come too late:
      // another connection may have submitted a request with the same id by then.
      state = state.afterRequest();
      abort();
    }
    return state.hasRequestInFlight();
  }

  private void discard(int bytes) {
    state = state.discardingInput();
    isKeepAlive = false;
    discardedInput.add(bytes);
    if (discardedInput.isFlood() && state.hasRequestInFlight()) {
      String requestId = requestInFlightId;
      respond(ResponseFactory.clientError(HttpResponseStatus.BAD_REQUEST, "more than a request"));
      server.clientDisconnected(requestId);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message)
      throws IOException {
    if (state.isDiscardingInput()) {
      return;
    }
    try {
      receive(message);
    } catch (InvalidRequestException e) {
      rejectInput(HttpResponseStatus.valueOf(e.status()), e.getMessage());
    }
  }

  private void receive(HttpObject message) throws InvalidRequestException, IOException {
    if (message.decoderResult().isFailure()) {
      throw new InvalidRequestException(HttpResponseStatus.BAD_REQUEST.code(), "malformed request");
    }
    if (message instanceof HttpRequest head) {
      startRequest(head);
    }
    if (message instanceof HttpContent content
        && assembler.isReceiving()
        && assembler.append(content)) {
      handleCompleteRequest(assembler.finish());
    }
  }

  private void startRequest(HttpRequest head) throws InvalidRequestException {
    if (state.hasRequestInFlight()) {
      // Pipelining: the request in flight keeps its response, and the connection closes after it.
      isKeepAlive = false;
      state = state.discardingInput();
      return;
    }
    assembler.start(head);
    if (HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(ResponseFactory.continueRequest());
    }
  }

  private void handleCompleteRequest(HttpRequest head) {
    isKeepAlive = HttpUtil.isKeepAlive(head);
    if (server.isReadinessPath(head.uri())) {
      respond(ResponseFactory.readiness(server.isReadyFor(head.uri())));
      return;
    }
    try {
      submit(server.requestParser().parse(head, assembler.body()));
      updateAutoRead();
    } catch (InvalidRequestException e) {
      // A response to HEAD has no body: the client would read it as the next response.
      String explanation = head.method().equals(HttpMethod.HEAD) ? "" : e.getMessage();
      respond(ResponseFactory.clientError(HttpResponseStatus.valueOf(e.status()), explanation));
      readPenalty.start(context.executor(), this::updateAutoRead);
      updateAutoRead();
    }
  }

  private void submit(ClientRequest request) throws InvalidRequestException {
    requestInFlightId = request.requestId();
    state = ConnectionState.IN_FLIGHT;
    if (!server.submit(request, this)) {
      state = state.afterRequest();
      throw new InvalidRequestException(
          HttpResponseStatus.CONFLICT.code(), "this id is open already");
    }
  }

  /**
   * Rejects input that breaks the protocol and reads no further request. A request in flight keeps
   * its own response, which is then the last one.
   */
  private void rejectInput(HttpResponseStatus status, String explanation) {
    isKeepAlive = false;
    assembler.abort();
    state = state.discardingInput();
    if (!state.hasRequestInFlight()) {
      respond(ResponseFactory.clientError(status, explanation));
    }
  }

  /**
   * Reads while a request may be received. With a request in flight the connection is always read,
   * since only reading shows that its client has disconnected.
   */
  private void updateAutoRead() {
    boolean mayReceive =
        isAwaitingRequest() && !readPenalty.isActive() && context.channel().isWritable();
    context.channel().config().setAutoRead(state.hasRequestInFlight() || mayReceive);
  }

  /** Reads no request from a client that does not read its responses. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    times.writabilityChanged(handlerContext.channel().isWritable());
    updateAutoRead();
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
    boolean isLast = !isKeepAlive || server.closesAfterResponse();
    if (isLast) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ChannelFuture written = context.writeAndFlush(response);
    if (isLast) {
      state = state.discardingInput();
      written.addListener(ChannelFutureListener.CLOSE);
    }
    updateAutoRead();
    server.responseWritten(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    server.connectionClosed(this);
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
