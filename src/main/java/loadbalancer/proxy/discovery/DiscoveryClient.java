package loadbalancer.proxy.discovery;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import loadbalancer.config.EndpointList;

/**
 * Keeps at most one watch of the endpoint list active and remembers the service's address and the
 * last version received. Reports the failure of a watch once and does not retry: the policy decides
 * whether and when to start the next watch.
 *
 * <p>Not thread-safe: call every method on the event loop.
 */
public final class DiscoveryClient {

  private final EventLoop loop;
  private final ChannelFactory<Channel> channelFactory;
  private final WatchTimeouts timeouts;
  private final DiscoveryListener listener;
  private WatchTarget target;

  /** Whether the caller wants the list watched; stays true after the active watch has failed. */
  private boolean watchRequested;

  /** The active watch, or null. */
  private EndpointListWatch activeWatch;

  /** Creates a client without an active watch. */
  public DiscoveryClient(
      EventLoop loop, WatchTarget target, WatchTimeouts timeouts, DiscoveryListener listener) {
    this(loop, NioSocketChannel::new, target, timeouts, listener);
  }

  /** Creates a client whose connections use channels from this factory. */
  DiscoveryClient(
      EventLoop loop,
      ChannelFactory<Channel> channelFactory,
      WatchTarget target,
      WatchTimeouts timeouts,
      DiscoveryListener listener) {
    this.loop = loop;
    this.channelFactory = channelFactory;
    this.target = target;
    this.timeouts = timeouts;
    this.listener = listener;
  }

  /** Starts a watch if none is active, or stops the active one without reporting a failure. */
  public void watch(boolean enabled) {
    watchRequested = enabled;
    if (!enabled) {
      stopWatch();
    } else if (activeWatch == null) {
      startWatch();
    }
  }

  /**
   * Switches to another address of the discovery service; does nothing if it is the current one. If
   * a watch is wanted, it starts at once, even while the policy backs off after a failure of the
   * old address. It requests the full list, because versions of different services are not
   * comparable.
   */
  public void moveTo(InetSocketAddress address) {
    if (address.equals(target.address())) {
      return;
    }
    target = new WatchTarget(address, OptionalLong.empty());
    stopWatch();
    if (watchRequested) {
      startWatch();
    }
  }

  private void startWatch() {
    EndpointListWatch watch = new EndpointListWatch(loop, target, timeouts, new WatchListener());
    watch.start(channelFactory);
    activeWatch = watch;
  }

  /** Stops the active watch, if any, without reporting a failure. */
  private void stopWatch() {
    EndpointListWatch stopped = activeWatch;
    activeWatch = null;
    if (stopped != null) {
      stopped.stop();
    }
  }

  /** Receives the events of the active watch; a stopped watch sends none. */
  private final class WatchListener implements DiscoveryListener {

    @Override
    public void endpointListReceived(EndpointList list) {
      target = target.withVersion(list.version());
      listener.endpointListReceived(list);
    }

    @Override
    public boolean acceptsLists() {
      return listener.acceptsLists();
    }

    @Override
    public void watchFailed() {
      activeWatch = null;
      listener.watchFailed();
    }
  }
}
