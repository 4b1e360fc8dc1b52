package loadbalancer.proxy.discovery;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/** A watch on an event loop of its own, with a listener that records what it notifies. */
abstract class WatchTestSupport {

  final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  final RecordingListener listener = new RecordingListener(loop);

  /** Starts a watch with one limit on silence and on the first response. */
  DiscoveryClient startWatch(InetSocketAddress address, long silenceMillis) {
    return startWatch(address, silenceMillis, silenceMillis);
  }

  DiscoveryClient startWatch(
      InetSocketAddress address, long firstResponseMillis, long silenceMillis) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(address, 7),
            new WatchTimeouts(firstResponseMillis, silenceMillis),
            listener);
    loop.execute(() -> discovery.watch(true));
    return discovery;
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
