package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
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

/** The requests that a balancer makes up for itself before it says that it is up. */
class WarmUpTest {

  private static final long STALL_NANOS = 15_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private volatile boolean warm;

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** As on a core of which others have most. */
  private void stall() {
    for (long end = System.nanoTime() + STALL_NANOS; System.nanoTime() < end; ) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
    if (!warm) {
      loop.schedule(this::stall, 1, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void slowCoreDoesNotCutTheWarmUpShort() throws Exception {
    JsonObjectReader f =
        JsonObjectReader.parse(
            "configuration", TestProxy.configurationJson(TestProxy.unreachableAddress(), 1));
    var settings = PolicySettingsReader.read(f.nested("settings"));
    EventLoopLag lag = new EventLoopLag(loop);
    UpstreamConnectionPools pool =
        new UpstreamConnectionPools(
            loop, new ConnectionLimits(1_000_000_000L, 60_000_000_000L, 10));
    RequestCoordinator core =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, 1),
            new CoordinatorEnvironment(loop, new EpochClock(), lag, pool),
            defect -> {});
    String path = WarmUp.newPath();
    DownstreamServer server = new DownstreamServer(loop, settings, core, 100);
    server.setWarmUpPath(path);
    InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0));
    BlockingQueue<Integer> made = new LinkedBlockingQueue<>();
    loop.execute(this::stall);
    loop.execute(
        () ->
            WarmUp.run(
                loop,
                lag,
                address,
                path,
                settings,
                requests -> {
                  warm = true;
                  made.add(requests);
                }));
    int requests = made.poll(60, TimeUnit.SECONDS);
    assertTrue(requests >= WarmUp.REQUESTS, "made " + requests);
  }
}
