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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.proxy.telemetry.EventLog;

/**
 * The watch on discovery. Each call of {@link #watch} ends in news or in one failure; asking again
 * after a failure, and how soon, is the module's decision.
 */
public final class DiscoveryClient {

  private static final long HEARTBEAT_MILLIS = 2_000;

  /** What a heartbeat may be late by on a busy machine. */
  private static final long LATE_MILLIS = 500;

  /**
   * Two heartbeats that stay out mean a connection that nobody serves any more. What there is to
   * tell counts as told 6 s after the last one: by then another watch has to be on, which the
   * module's back-off may put off by a second.
   */
  public static final long SILENCE_MILLIS = 2 * HEARTBEAT_MILLIS + LATE_MILLIS;

  /**
   * A call, from the start of its connect, until it has told something: the agent answers at once,
   * but where nothing has changed the first thing to come may be a heartbeat. After SIGHUP what
   * there is to tell counts as told 4 s later: a call at the new address that nobody answers has to
   * end with time left for a back-off and another one.
   */
  public static final long CALL_MILLIS = HEARTBEAT_MILLIS + LATE_MILLIS;

  /** No version of the list is known, so all of it is asked for. */
  private static final long NO_INDEX = -1;

  private final EventLoop loop;
  private final ChannelFactory<Channel> sockets;
  private final long callMillis;
  private final long silenceMillis;
  private final Consumer<EndpointList> news;
  private final Runnable failed;
  private InetSocketAddress address;
  private long index;
  private boolean wanted;
  private Channel current;

  public DiscoveryClient(
      EventLoop loop,
      InetSocketAddress address,
      long index,
      long callMillis,
      long silenceMillis,
      Consumer<EndpointList> news,
      Runnable failed) {
    this(loop, NioSocketChannel::new, address, index, callMillis, silenceMillis, news, failed);
  }

  /** One whose sockets {@code sockets} makes. */
  public DiscoveryClient(
      EventLoop loop,
      ChannelFactory<Channel> sockets,
      InetSocketAddress address,
      long index,
      long callMillis,
      long silenceMillis,
      Consumer<EndpointList> news,
      Runnable failed) {
    this.loop = loop;
    this.sockets = sockets;
    this.address = address;
    this.index = index;
    this.callMillis = callMillis;
    this.silenceMillis = silenceMillis;
    this.news = news;
    this.failed = failed;
  }

  /** Starts a watch, unless one is on already, or ends it. */
  public void watch(boolean on) {
    wanted = on;
    if (!on) {
      stop();
    } else if (current == null) {
      connect();
    }
  }

  /**
   * Follows the list at another address from now on. A watch starts there at once, however long the
   * module would still wait after a failure of the old one; versions of the list there have nothing
   * to do with those here.
   */
  public void moveTo(InetSocketAddress next) {
    if (next.equals(address)) {
      return;
    }
    address = next;
    index = NO_INDEX;
    stop();
    if (wanted) {
      connect();
    }
  }

  /** Ends the watch that may be on; it is nobody's failure. */
  private void stop() {
    Channel before = current;
    current = null;
    if (before != null) {
      close(before);
    }
  }

  private void connect() {
    EndpointListDecoder lists = new EndpointListDecoder();
    WatchHandler handler = new WatchHandler(lists);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channelFactory(sockets)
            // The call's own bound holds for its connect too.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), lists, handler);
                  }
                })
            .connect(address);
    current = connecting.channel();
    handler.start(current);
    connecting.addListener(
        connected -> {
          if (!connected.isSuccess()) {
            // Of a socket that could not be made Netty tells on a thread of its own.
            loop.execute(() -> handler.end("cannot connect: " + connected.cause().getMessage()));
          }
        });
  }

  /**
   * Where no descriptor was left there is no socket to close, and asking for it is an exception.
   */
  private static void close(Channel channel) {
    if (channel.isOpen()) {
      channel.close();
    }
  }

  /**
   * Follows one watch: gets each list once it is whole, and the parts of the answer for what they
   * tell of its end.
   */
  private final class WatchHandler extends SimpleChannelInboundHandler<Object> {
    private final EndpointListDecoder lists;
    private Channel channel;

    /**
     * When more has to have come, and a first list all of it; the latter is null once something was
     * told.
     */
    private ScheduledFuture<?> due;

    private ScheduledFuture<?> firstDue;

    WatchHandler(EndpointListDecoder lists) {
      this.lists = lists;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      EventLog.infoRateLimited(
          "discovery: watches " + address + (index == NO_INDEX ? "" : " from version " + index));
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              "/discovery/hosts?watch=1" + (index == NO_INDEX ? "" : "&after=" + index));
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      ctx.writeAndFlush(request);
    }

    /**
     * Bounds the call until it has told something, its connect included: a connection that comes up
     * and an answer's head are no news, and each would put off the end.
     */
    void start(Channel connecting) {
      channel = connecting;
      due = endIn(callMillis, "told nothing");
      firstDue = endIn(silenceMillis, "first list too slow");
    }

    private ScheduledFuture<?> endIn(long millis, String why) {
      return loop.schedule(() -> end(why), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against a discovery that vanished: its connection stays open and says nothing for
     * ever.
     */
    private void heard() {
      cancel();
      firstDue = null;
      due = endIn(silenceMillis, "silent");
    }

    /**
     * A long first list is not cut as long as more of it comes, in the time that a watch may be
     * silent for at most.
     */
    private void progressed() {
      due.cancel(false);
      due = endIn(callMillis, "first list stopped");
    }

    private void cancel() {
      due.cancel(false);
      if (firstDue != null) {
        firstDue.cancel(false);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) throws IOException {
      if (current != channel) {
        return;
      }
      if (message instanceof ByteBuf list) {
        read(list.toString(StandardCharsets.UTF_8));
        return;
      }
      if (message instanceof HttpContent && !lists.begun()) {
        // A list that stops halfway is silence too, whatever comes behind it.
        heard();
      } else if (firstDue != null && lists.begun() && !lists.blank()) {
        progressed();
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        end("malformed answer");
      } else if (message instanceof HttpResponse response && response.status().code() != 200) {
        end("answer " + response.status().code());
      } else if (message instanceof LastHttpContent) {
        end("ended");
      }
    }

    private void read(String text) throws IOException {
      EndpointList list = EndpointList.fromJson(JsonObjectReader.parse("list", text));
      index = list.version();
      heard();
      EventLog.infoRateLimited("discovery: " + list);
      news.accept(list);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(cause.toString());
    }

    /** Ends this watch once; one that was replaced or stopped is nobody's failure. */
    private void end(String why) {
      cancel();
      close(channel);
      if (current == channel) {
        current = null;
        EventLog.infoRateLimited("discovery: watch failed: " + why);
        failed.run();
      }
    }
  }
}
