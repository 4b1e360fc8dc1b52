package loadbalancer.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
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
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.transport.HeapBuffers;

/**
 * One watch of the endpoint list, as a state machine: opens a connection, sends a request and
 * receives a chunked response of lists and heartbeats until the connection ends. A watch ends
 * either by {@link #stop}, or by a failure, which it reports to its listener once.
 *
 * <p>Not thread-safe: used on the event loop only. It is the last handler of its channel's pipeline
 * and receives each complete list before the {@link HttpContent} that completed it.
 */
final class EndpointListWatch extends SimpleChannelInboundHandler<Object> {

  /**
   * The maximum number of bytes that are read and parsed before the event loop turns to other
   * sockets and timers. A long list would otherwise hold it for tens of milliseconds.
   */
  static final int MAX_BYTES_PER_READ = 8 << 10;

  private static final RecvByteBufAllocator READ_BUFFERS =
      new FixedRecvByteBufAllocator(MAX_BYTES_PER_READ).maxMessagesPerRead(1);

  /** How often a watch that reads nothing checks whether its listener accepts lists again. */
  private static final long READ_RETRY_MILLIS = 1;

  private enum State {
    /** The TCP connection is being opened. */
    CONNECTING,
    /** The request has been sent; no list data and no heartbeat have arrived. */
    AWAITING_FIRST_LIST,
    /** A part of the first list has arrived, but not all of it. */
    RECEIVING_FIRST_LIST,
    /** A list or a heartbeat has arrived, so the service is handling this watch. */
    ESTABLISHED,
    /** The watch was stopped or failed; the connection is closed. */
    ENDED
  }

  private final EventLoop loop;
  private final WatchTarget target;
  private final WatchTimeouts timeouts;
  private final DiscoveryListener listener;
  private final EndpointListDecoder decoder = new EndpointListDecoder();
  private State state = State.CONNECTING;
  private Channel channel;

  /** Fails the watch if it makes no progress. */
  private ScheduledFuture<?> progressDeadline;

  /** Fails the watch if its first list is not complete in time, even if data keeps arriving. */
  private ScheduledFuture<?> firstListDeadline;

  /** Creates a watch that is not connected yet; the listener is called on the event loop. */
  EndpointListWatch(
      EventLoop loop, WatchTarget target, WatchTimeouts timeouts, DiscoveryListener listener) {
    this.loop = loop;
    this.target = target;
    this.timeouts = timeouts;
    this.listener = listener;
  }

  /**
   * Starts to connect; call once. The first deadlines run from here: neither an established
   * connection nor a response head extends them.
   */
  void start(ChannelFactory<Channel> channelFactory) {
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channelFactory(channelFactory)
            // The deadlines of the watch limit the connect too.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
            .option(ChannelOption.RECVBUF_ALLOCATOR, READ_BUFFERS)
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
        failAfter(timeouts.firstResponseTimeoutMillis(), "no first list or heartbeat");
    firstListDeadline = failAfter(timeouts.firstListTimeoutMillis(), "first list not complete");
    connected.addListener(
        result -> {
          if (!result.isSuccess()) {
            // If the socket could not be created, Netty calls this on another thread.
            loop.execute(() -> fail("cannot connect: " + result.cause().getMessage()));
          }
        });
  }

  /** Ends the watch without calling its listener. */
  void stop() {
    end();
  }

  /** Schedules a failure whose reason is {@code problem} with the timeout appended. */
  private ScheduledFuture<?> failAfter(long timeoutMillis, String problem) {
    return loop.schedule(
        () -> fail(problem + " within " + timeoutMillis + " ms"),
        timeoutMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Sends the request once the connection is established. */
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
  protected void channelRead0(ChannelHandlerContext context, Object message) {
    if (state == State.ENDED) {
      return;
    }
    if (message instanceof EndpointList list) {
      receiveList(list);
    } else {
      extendDeadlines(message);
      failOnErrorOrEnd((HttpObject) message);
    }
  }

  private void receiveList(EndpointList list) {
    markEstablished();
    EventLog.infoRateLimited("discovery: endpoint list received " + list.summary());
    listener.endpointListReceived(list);
    // One read may hold several lists.
    boolean isReading = channel.config().isAutoRead();
    if (state != State.ENDED && isReading && !listener.acceptsLists()) {
      channel.config().setAutoRead(false);
      scheduleResume();
    }
  }

  /** Suspends the deadlines, as nothing is read, until the listener accepts lists. */
  private void scheduleResume() {
    cancelDeadlines();
    loop.schedule(this::resumeReading, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void resumeReading() {
    if (state == State.ENDED) {
      return;
    }
    if (listener.acceptsLists()) {
      markEstablished();
      channel.config().setAutoRead(true);
    } else {
      scheduleResume();
    }
  }

  private void extendDeadlines(Object message) {
    if (message instanceof HttpContent && !decoder.hasPartialList()) {
      // White space inside a list is not a heartbeat: a list that stops arriving must time out.
      markEstablished();
    } else if (state != State.ESTABLISHED
        && decoder.hasPartialList()
        && !decoder.isLastContentBlank()) {
      extendProgressDeadline();
    }
  }

  /** Restarts the progress deadline, so that a long first list is not cut off while it arrives. */
  private void extendProgressDeadline() {
    state = State.RECEIVING_FIRST_LIST;
    progressDeadline.cancel(false);
    progressDeadline =
        failAfter(timeouts.firstResponseTimeoutMillis(), "no further part of the first list");
  }

  /** Records that a list or a heartbeat has arrived and restarts the idle timeout. */
  private void markEstablished() {
    state = State.ESTABLISHED;
    cancelDeadlines();
    // If the peer's machine disappears, its connections stay open without any data.
    progressDeadline = failAfter(timeouts.idleTimeoutMillis(), "no list or heartbeat");
  }

  private void failOnErrorOrEnd(HttpObject message) {
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
    // Without a free file descriptor the channel has no socket, and close() would throw.
    if (channel.isOpen()) {
      channel.close();
    }
  }

  private void cancelDeadlines() {
    progressDeadline.cancel(false);
    firstListDeadline.cancel(false);
  }
}
