package loadbalancer.proxy.discovery;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import loadbalancer.config.EndpointList;

/**
 * Keeps at most one watch of the endpoint list active, and its address and version. A watch ends in
 * one failure at most; whether and when to start another is the decision of the policy.
 *
 * <p>All state belongs to the event loop: every method is to be called there.
 */
public final class DiscoveryClient {

  private final EventLoop loop;
  private final ChannelFactory<Channel> channelFactory;
  private final WatchTimeouts timeouts;
  private final DiscoveryListener listener;
  private WatchTarget target;

  /** Whether the policy wants the list to be watched, be a watch active or not. */
  private boolean watchRequested;

  /** The active watch; null if there is none. */
  private EndpointListWatch activeWatch;

  /** A client that has not started a watch yet. */
  public DiscoveryClient(
      EventLoop loop, WatchTarget target, WatchTimeouts timeouts, DiscoveryListener listener) {
    this(loop, NioSocketChannel::new, target, timeouts, listener);
  }

  /** A client whose channels this factory makes. */
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

  /** Starts a watch, unless one is active already, or stops the active one. */
  public void watch(boolean enabled) {
    watchRequested = enabled;
    if (!enabled) {
      stopWatch();
    } else if (activeWatch == null) {
      startWatch();
    }
  }

  /**
   * Watches the list at another address from now on. The watch there starts at once, however long
   * the policy would still back off after a failure of the old address; it requests the full list,
   * since versions of one service mean nothing to another.
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

  /** Stops the active watch, if any; that is not a failure. */
  private void stopWatch() {
    EndpointListWatch stopped = activeWatch;
    activeWatch = null;
    if (stopped != null) {
      stopped.stop();
    }
  }

  /** Listens to the active watch: one that was stopped notifies nobody. */
  private final class WatchListener implements DiscoveryListener {

    @Override
    public void endpointListReceived(EndpointList list) {
      target = target.withVersion(list.version());
      listener.endpointListReceived(list);
    }

    @Override
    public void watchFailed() {
      activeWatch = null;
      listener.watchFailed();
    }
  }
}
