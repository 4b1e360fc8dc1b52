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

/** The synthetic requests that a proxy sends to itself before it reports that it is ready. */
class WarmUpTest {

  private static final long STALL_NANOS = 15_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private volatile boolean isWarmedUp;

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Blocks the event loop again and again, as on a core that other processes use. */
  private void blockLoopPeriodically() {
    for (long end = System.nanoTime() + STALL_NANOS; System.nanoTime() < end; ) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
    if (!isWarmedUp) {
      loop.schedule(this::blockLoopPeriodically, 1, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void warmUpCompletesAllRequestsOnASlowEventLoop() throws Exception {
    JsonObjectReader fields =
        JsonObjectReader.parse(
            "configuration", TestProxy.configurationJson(TestProxy.unreachableAddress(), 1));
    PolicySettings settings = PolicySettingsReader.read(fields.nested("settings"));
    EventLoopLag lag = new EventLoopLag(loop);
    UpstreamConnectionPools pool =
        new UpstreamConnectionPools(
            loop, new ConnectionLimits(1_000_000_000L, 60_000_000_000L, 10));
    RequestCoordinator coordinator =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, 1),
            new CoordinatorEnvironment(loop, new EpochClock(), lag, pool),
            defect -> {});
    String path = WarmUp.newPath();
    DownstreamServer server = new DownstreamServer(loop, settings, coordinator, 100);
    server.setWarmUpPath(path);
    InetSocketAddress address =
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    BlockingQueue<Integer> completed = new LinkedBlockingQueue<>();
    loop.execute(this::blockLoopPeriodically);
    loop.execute(
        () ->
            new WarmUp(
                    loop,
                    lag,
                    settings,
                    path,
                    requestCount -> {
                      isWarmedUp = true;
                      completed.add(requestCount);
                    })
                .start(address));
    int requestCount = completed.poll(60, TimeUnit.SECONDS);
    assertTrue(requestCount >= WarmUp.REQUEST_COUNT, "requests sent: " + requestCount);
  }
}
