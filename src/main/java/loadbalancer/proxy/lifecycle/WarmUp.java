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
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.coordinator.CoordinatorEnvironment;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.downstream.RequestDecoder;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * Runs synthetic requests through all parts of the proxy before it reports that it is ready, so
 * that the first clients do not meet a JVM whose classes are not loaded and whose code is not
 * compiled. The requests have a policy and connection pools of their own, and the proxy itself is
 * their upstream, at a path that nobody else knows. Belongs to the event loop.
 */
final class WarmUp {

  /** How many requests complete a warm-up. */
  static final int REQUEST_COUNT = 300;

  private static final int CONCURRENT_CLIENTS = 8;
  private static final int ENDPOINT_COUNT = 3;

  /**
   * A limit for a proxy that cannot reach itself: clients arrive after 30 s in any case. Slow
   * progress is no reason to end earlier, since on a fraction of a core the code is compiled late.
   */
  private static final long MAX_DURATION_NANOS = 20_000_000_000L;

  private static final long UPSTREAM_TIMEOUT_NANOS = 1_000_000_000L;
  private static final long ROUND_PERIOD_MICROS = 1;

  private final EventLoop loop;
  private final IntConsumer onComplete;
  private final EpochClock clock = new EpochClock();
  private final WarmUpRequests requests;
  private final UpstreamConnectionPools upstreamPools;
  private final RequestCoordinator coordinator;
  private final DownstreamServer downstream;
  private final long deadlineNanos = clock.nowNanos() + MAX_DURATION_NANOS;
  private final List<EmbeddedChannel> clients = new ArrayList<>();
  private int sentRequests;

  /**
   * A warm-up that has not started.
   *
   * @param settings of the proxy
   * @param path from {@link #newPath}, to which the proxy responds while it warms up
   * @param onComplete gets the number of requests sent, on the event loop
   */
  WarmUp(
      EventLoop loop,
      EventLoopLag lag,
      PolicySettings settings,
      String path,
      IntConsumer onComplete) {
    this.loop = loop;
    this.onComplete = onComplete;
    requests = new WarmUpRequests(path, settings);
    upstreamPools =
        new UpstreamConnectionPools(
            loop,
            new ConnectionLimits(
                UPSTREAM_TIMEOUT_NANOS, UPSTREAM_TIMEOUT_NANOS, CONCURRENT_CLIENTS));
    coordinator =
        new RequestCoordinator(
            requests.settings(),
            new AdaptiveLoadBalancingPolicy(requests.settings(), 0),
            new CoordinatorEnvironment(loop, clock, lag, upstreamPools),
            defect -> EventLog.error("lifecycle: policy defect during warm-up error=" + defect));
    downstream = new DownstreamServer(loop, requests.settings(), coordinator, CONCURRENT_CLIENTS);
  }

  /** A path that no client can guess: requests to it are answered without being checked. */
  static String newPath() {
    return "/" + UUID.randomUUID();
  }

  /** Starts to send requests to the proxy, which listens at this address. */
  void start(InetSocketAddress proxyAddress) {
    List<EndpointList.Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      endpoints.add(
          new EndpointList.Endpoint(
              proxyAddress, new EndpointDescriptor(i, "", 0, EndpointStatus.READY, 0, 1)));
    }
    coordinator.start(new EndpointList(0, true, endpoints), watchEnabled -> {});
    for (int i = 0; i < CONCURRENT_CLIENTS; i++) {
      ClientConnection connection = new ClientConnection(downstream);
      clients.add(
          new EmbeddedChannel(
              new RequestDecoder(connection), new HttpResponseEncoder(), connection));
    }
    loop.execute(this::sendRound);
  }

  /** Sends a request on each idle client connection; comes again until enough were sent. */
  private void sendRound() {
    if (sentRequests >= REQUEST_COUNT || clock.nowNanos() > deadlineNanos) {
      clients.forEach(EmbeddedChannel::close);
      upstreamPools.close();
      onComplete.accept(sentRequests);
      return;
    }
    for (EmbeddedChannel client : clients) {
      if (client.pipeline().get(ClientConnection.class).isIdle()) {
        client.releaseOutbound();
        client.writeInbound(
            Unpooled.copiedBuffer(requests.text(sentRequests), StandardCharsets.US_ASCII));
        sentRequests++;
      }
    }
    loop.schedule(this::sendRound, ROUND_PERIOD_MICROS, TimeUnit.MICROSECONDS);
  }
}
