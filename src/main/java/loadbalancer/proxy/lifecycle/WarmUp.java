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
 * Sends synthetic requests through the whole request path before the proxy reports that it is
 * ready, so that the JVM has loaded the classes and compiled the code before the first client
 * requests arrive.
 *
 * <p>The requests use a separate policy and separate connection pools. Their upstream is the proxy
 * itself, which responds to them at a random path known only to the warm-up.
 *
 * <p>Must be used on the event loop only.
 */
final class WarmUp {

  /** The number of requests after which the warm-up is complete. */
  static final int REQUEST_COUNT = 300;

  private static final int CONCURRENT_CLIENTS = 8;
  private static final int ENDPOINT_COUNT = 3;

  /**
   * Ends the warm-up of a proxy that cannot connect to itself, since clients arrive after 30 s in
   * any case. Slow progress does not end the warm-up earlier, because on a fraction of a core the
   * code is compiled late.
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
  private int sentRequestCount;

  /**
   * Creates a warm-up without starting it. The time limit runs from now on.
   *
   * @param loop the event loop of the proxy
   * @param loopLag the lag of this event loop
   * @param settings the settings of the proxy
   * @param path a path from {@link #newPath}, to which the proxy responds during the warm-up
   * @param onComplete receives the number of requests sent, on the event loop
   */
  WarmUp(
      EventLoop loop,
      EventLoopLag loopLag,
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
            new CoordinatorEnvironment(loop, clock, loopLag, upstreamPools),
            defect -> EventLog.error("lifecycle: policy defect during warm-up error=" + defect));
    downstream = new DownstreamServer(loop, requests.settings(), coordinator, CONCURRENT_CLIENTS);
  }

  /**
   * Returns a random path. Clients must be unable to guess it, since requests to it get a response
   * without being validated.
   */
  static String newPath() {
    return "/" + UUID.randomUUID();
  }

  /** Starts sending requests to the proxy, which listens on this address. */
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

  /**
   * Sends a request on each idle client connection and schedules the next round, until {@link
   * #REQUEST_COUNT} requests were sent or the time limit is reached.
   */
  private void sendRound() {
    if (sentRequestCount >= REQUEST_COUNT || clock.nowNanos() > deadlineNanos) {
      clients.forEach(EmbeddedChannel::close);
      upstreamPools.close();
      onComplete.accept(sentRequestCount);
      return;
    }
    for (EmbeddedChannel client : clients) {
      if (client.pipeline().get(ClientConnection.class).isIdle()) {
        client.releaseOutbound();
        client.writeInbound(
            Unpooled.copiedBuffer(requests.text(sentRequestCount), StandardCharsets.US_ASCII));
        sentRequestCount++;
      }
    }
    loop.schedule(this::sendRound, ROUND_PERIOD_MICROS, TimeUnit.MICROSECONDS);
  }
}
