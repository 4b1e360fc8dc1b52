package loadbalancer.proxy.lifecycle;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.coordinator.CoordinatorEnvironment;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.downstream.RequestDecoder;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * Guards the first clients from a cold JVM: before the balancer says that it is up, made-up
 * requests run through all of its code, with a module and a pool of their own, to a path of the
 * balancer's own that nobody else knows.
 */
final class WarmUp {

  static final int REQUESTS = 300;
  private static final int AT_ONCE = 8;
  private static final int UPSTREAMS = 3;
  private static final int KEYS = 50;

  /**
   * Only for a balancer that cannot reach itself: clients come after 30 s all the same. Slow
   * progress is no reason to end: on half a core the code is compiled late, and a balancer that is
   * up before that fails its first clients.
   */
  private static final long LONGEST_NANOS = 20_000_000_000L;

  private static final long SECOND = 1_000_000_000L;

  private final EventLoop loop;
  private final String path;
  private final EpochClock clock = new EpochClock();
  private final UpstreamConnectionPools pool;
  private final RequestCoordinator core;
  private final DownstreamServer side;
  private final IntConsumer done;
  private final long endAt = clock.nowNanos() + LONGEST_NANOS;
  private final List<EmbeddedChannel> clients = new ArrayList<>();
  private int sent;

  /**
   * Runs on the loop and tells {@code done} there how many requests it made, after so many or so
   * long.
   */
  static void run(
      EventLoop loop,
      EventLoopLag lag,
      InetSocketAddress self,
      String path,
      PolicySettings settings,
      IntConsumer done) {
    new WarmUp(loop, lag, path, settings, done).start(self);
  }

  /**
   * A path that no client can guess: only this process's warm-up is answered without having asked
   * for a class.
   */
  static String newPath() {
    return "/" + UUID.randomUUID();
  }

  private WarmUp(
      EventLoop loop, EventLoopLag lag, String path, PolicySettings real, IntConsumer done) {
    this.loop = loop;
    this.path = path;
    this.done = done;
    RequestClass type =
        new RequestClass(
            path.substring(1),
            RequestEffect.IDEMPOTENT,
            DeduplicationScope.ALL,
            SECOND,
            SECOND,
            0,
            2 * SECOND,
            1,
            0,
            false);
    PolicySettings settings =
        new PolicySettings(
            0,
            1,
            real.zone(),
            List.of(type),
            real.tenants(),
            real.limits(),
            real.serviceRules(),
            real.costs(),
            false,
            real.weightKind(),
            real.overQuotaWeight(),
            real.endpointsCacheKeys(),
            real.clockResolutionNanos());
    pool = new UpstreamConnectionPools(loop, new ConnectionLimits(SECOND, SECOND, AT_ONCE));
    core =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, 0),
            new CoordinatorEnvironment(loop, clock, lag, pool),
            e -> EventLog.info("defect of the module while warming up: " + e));
    side = new DownstreamServer(loop, settings, core, AT_ONCE);
  }

  private void start(InetSocketAddress self) {
    List<EndpointList.Endpoint> hosts = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      hosts.add(
          new EndpointList.Endpoint(
              self, new EndpointDescriptor(i, "", 0, EndpointStatus.READY, 0, 1)));
    }
    core.start(new EndpointList(0, true, hosts), on -> {});
    for (int i = 0; i < AT_ONCE; i++) {
      ClientConnection handler = new ClientConnection(side);
      clients.add(
          new EmbeddedChannel(new RequestDecoder(handler), new HttpResponseEncoder(), handler));
    }
    loop.execute(this::round);
  }

  private void round() {
    if (sent >= REQUESTS || clock.nowNanos() > endAt) {
      clients.forEach(EmbeddedChannel::close);
      pool.close();
      done.accept(sent);
      return;
    }
    for (EmbeddedChannel client : clients) {
      if (client.pipeline().get(ClientConnection.class).isIdle()) {
        client.releaseOutbound();
        client.writeInbound(Unpooled.copiedBuffer(request(sent++), StandardCharsets.US_ASCII));
      }
    }
    loop.schedule(this::round, 1, TimeUnit.MICROSECONDS);
  }

  private String request(int number) {
    var tenants = side.settings().tenants();
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: warm-up\r\n"
        + RequestHeaders.CORRELATION_ID
        + ": warm-up-"
        + number
        + "\r\nX-Service-Class: "
        + path.substring(1)
        + "\r\nX-Session-Key: "
        + number % KEYS
        + (tenants.isEmpty() ? "" : "\r\nX-Account: " + tenants.get(number % tenants.size()).name())
        + "\r\n"
        + RequestHeaders.TIME_LEFT_MILLIS
        + ": 1000\r\nX-Weight-Hint: 1000\r\n\r\n";
  }
}
