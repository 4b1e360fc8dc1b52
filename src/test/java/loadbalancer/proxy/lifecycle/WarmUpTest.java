package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.TestProxy;
import loadbalancer.proxy.coordinator.CoordinatorEnvironment;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the warm-up of a proxy whose event loop is often blocked, as on a machine short of CPU. A
 * warm-up that gave up on slow progress would let the proxy report that it is ready with cold code.
 */
class WarmUpTest {

  private static final long BLOCK_NANOS = 15_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private volatile boolean isWarmUpComplete;

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /**
   * Blocks the event loop for 15 ms, again and again until the warm-up completes, as on a core that
   * other processes use.
   */
  private void blockLoopPeriodically() {
    for (long end = System.nanoTime() + BLOCK_NANOS; System.nanoTime() < end; ) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
    if (!isWarmUpComplete) {
      loop.schedule(this::blockLoopPeriodically, 1, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void warmUpSendsAllRequestsOnASlowEventLoop() throws Exception {
    JsonObjectReader configuration =
        JsonObjectReader.parse(
            "configuration", TestProxy.configurationJson(TestProxy.unreachableAddress(), 1));
    PolicySettings settings = PolicySettingsReader.read(configuration.nested("settings"));
    EventLoopLag loopLag = new EventLoopLag(loop);
    UpstreamConnectionPools upstreamPools =
        new UpstreamConnectionPools(
            loop, new ConnectionLimits(1_000_000_000L, 60_000_000_000L, 10));
    RequestCoordinator coordinator =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, 1),
            new CoordinatorEnvironment(loop, new EpochClock(), loopLag, upstreamPools),
            defect -> {});
    String path = WarmUp.newPath();
    DownstreamServer server = new DownstreamServer(loop, settings, coordinator, 100);
    server.setWarmUpPath(path);
    InetSocketAddress address =
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    BlockingQueue<Integer> requestCounts = new LinkedBlockingQueue<>();
    loop.execute(this::blockLoopPeriodically);
    loop.execute(
        () ->
            new WarmUp(
                    loop,
                    loopLag,
                    settings,
                    path,
                    requestCount -> {
                      isWarmUpComplete = true;
                      requestCounts.add(requestCount);
                    })
                .start(address));
    int requestCount = requestCounts.poll(60, TimeUnit.SECONDS);
    assertTrue(requestCount >= WarmUp.REQUEST_COUNT, "requests sent: " + requestCount);
  }
}
