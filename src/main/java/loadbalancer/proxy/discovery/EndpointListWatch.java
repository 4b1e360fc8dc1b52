package loadbalancer.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * One watch of the endpoint list as a state machine: a connection, a request, and a chunked
 * response of lists and heartbeats that lasts until the connection ends. The watch ends once, by
 * {@link #stop} or by a failure, and only a failure is notified.
 *
 * <p>All state belongs to the event loop. It is the last handler of its channel's pipeline, where
 * it gets each list once that is complete, and after it the part of the response that completed it.
 */
final class EndpointListWatch extends SimpleChannelInboundHandler<Object> {

  private enum State {
    /** The TCP connection is being opened. */
    CONNECTING,
    /** The request is sent; neither a list nor a heartbeat has arrived. */
    AWAITING_FIRST_LIST,
    /** A part of the first list has arrived. */
    RECEIVING_FIRST_LIST,
    /** A list or a heartbeat has arrived: the service serves this watch. */
    ESTABLISHED,
    /** Stopped or failed; the connection is closed. */
    ENDED
  }

  private final EventLoop loop;
  private final WatchTarget target;
  private final WatchTimeouts timeouts;
  private final DiscoveryListener listener;
  private final EndpointListDecoder decoder = new EndpointListDecoder();
  private State state = State.CONNECTING;
  private Channel channel;

  /** Ends a watch that makes no progress. */
  private ScheduledFuture<?> progressDeadline;

  /** Ends a watch whose first list is not complete in time, however it progresses. */
  private ScheduledFuture<?> firstListDeadline;

  /** A watch that is not connected yet; its listener is called on the event loop. */
  EndpointListWatch(
      EventLoop loop, WatchTarget target, WatchTimeouts timeouts, DiscoveryListener listener) {
    this.loop = loop;
    this.target = target;
    this.timeouts = timeouts;
    this.listener = listener;
  }

  /**
   * Connects; to be called once. The first deadlines include the connect: neither a connection that
   * comes up nor the head of a response is a reason to wait longer.
   */
  void start(ChannelFactory<Channel> channelFactory) {
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channelFactory(channelFactory)
            // The deadlines of the watch bound its connect too.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    newChannel
                        .pipeline()
                        .addLast(new HttpClientCodec(), decoder, EndpointListWatch.this);
                  }
                })
            .connect(target.address());
    channel = connected.channel();
    progressDeadline =
        failAfter(timeouts.firstResponseMillis(), "no list or heartbeat after the connect");
    firstListDeadline = failAfter(timeouts.silenceMillis(), "first list not complete in time");
    connected.addListener(
        result -> {
          if (!result.isSuccess()) {
            // Netty notifies of a socket that could not be created on another thread.
            loop.execute(() -> fail("cannot connect: " + result.cause().getMessage()));
          }
        });
  }

  /** Ends the watch; its listener is not notified. */
  void stop() {
    end();
  }

  private ScheduledFuture<?> failAfter(long millis, String reason) {
    return loop.schedule(() -> fail(reason), millis, TimeUnit.MILLISECONDS);
  }

  /** Sends the request once the connection is up. */
  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (state != State.CONNECTING) {
      return;
    }
    state = State.AWAITING_FIRST_LIST;
    EventLog.infoRateLimited(
        "discovery: watch started address="
            + target.hostAndPort()
            + " version="
            + target.versionText());
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target.requestUri());
    request.headers().set(HttpHeaderNames.HOST, target.hostAndPort());
    context.writeAndFlush(request);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Object message) throws IOException {
    if (state == State.ENDED) {
      return;
    }
    if (message instanceof ByteBuf listText) {
      receiveList(EndpointListDecoder.parse(listText));
    } else {
      extendDeadlines(message);
      failIfLast((HttpObject) message);
    }
  }

  private void receiveList(EndpointList list) {
    establish();
    EventLog.infoRateLimited("discovery: endpoint list received " + list.summary());
    listener.endpointListReceived(list);
  }

  private void extendDeadlines(Object message) {
    if (message instanceof HttpContent && !decoder.hasPartialList()) {
      // White space inside a list is no heartbeat: a list that stops halfway is silence.
      establish();
    } else if (state != State.ESTABLISHED
        && decoder.hasPartialList()
        && !decoder.isLastPartBlank()) {
      continueFirstList();
    }
  }

  /** A long first list is not cut off as long as more of it arrives. */
  private void continueFirstList() {
    state = State.RECEIVING_FIRST_LIST;
    progressDeadline.cancel(false);
    progressDeadline = failAfter(timeouts.firstResponseMillis(), "first list stopped arriving");
  }

  /** The service has sent a list or a heartbeat; the next one has to follow in time. */
  private void establish() {
    state = State.ESTABLISHED;
    cancelDeadlines();
    // A machine that vanished leaves its connections open and silent for ever.
    progressDeadline = failAfter(timeouts.silenceMillis(), "no heartbeat in time");
  }

  private void failIfLast(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("malformed response");
    } else if (message instanceof HttpResponse response
        && response.status().code() != HttpResponseStatus.OK.code()) {
      fail("response status " + response.status().code());
    } else if (message instanceof LastHttpContent) {
      fail("response ended");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause.toString());
  }

  private void fail(String reason) {
    if (state == State.ENDED) {
      return;
    }
    end();
    EventLog.warnRateLimited("discovery: watch failed reason=" + reason);
    listener.watchFailed();
  }

  private void end() {
    state = State.ENDED;
    cancelDeadlines();
    // Without a free file descriptor there is no socket, and closing it would throw.
    if (channel.isOpen()) {
      channel.close();
    }
  }

  private void cancelDeadlines() {
    progressDeadline.cancel(false);
    firstListDeadline.cancel(false);
  }
}
