package loadbalancer.proxy.discovery;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/** Starts watches on an event loop of their own, with a listener that records their events. */
abstract class WatchTestSupport {

  final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  final RecordingListener listener = new RecordingListener(loop);

  /** Starts a watch whose first response timeout equals its idle timeout. */
  DiscoveryClient startWatch(InetSocketAddress address, long idleTimeoutMillis) {
    return startWatch(address, idleTimeoutMillis, idleTimeoutMillis);
  }

  DiscoveryClient startWatch(
      InetSocketAddress address, long firstResponseTimeoutMillis, long idleTimeoutMillis) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(address, 7),
            new WatchTimeouts(firstResponseTimeoutMillis, idleTimeoutMillis, idleTimeoutMillis),
            listener);
    loop.execute(() -> discovery.watch(true));
    return discovery;
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
