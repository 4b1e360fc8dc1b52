package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.proxy.coordinator.CoordinatorEnvironment;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/** The downstream server with the real policy behind it, on an event loop that a test may block. */
final class TestDownstreamServer {

  /** Its limit on connections. */
  static final int MAX_CONNECTIONS = 100;

  /** The address that clients connect to. */
  final InetSocketAddress address;

  /** The policy's defects that the coordinator has reported. */
  final Queue<RuntimeException> defects = new ConcurrentLinkedQueue<>();

  private final EventLoop loop;
  private final RequestCoordinator coordinator;
  private final DownstreamServer server;

  /** Listens; {@code eventListener} receives each event ahead of the policy. */
  TestDownstreamServer(EventLoop loop, Consumer<Event> eventListener, FakeHttpServer... upstreams)
      throws Exception {
    this(loop, eventListener, configuration -> configuration, upstreams);
  }

  /** The same with a changed configuration. */
  TestDownstreamServer(
      EventLoop loop,
      Consumer<Event> eventListener,
      UnaryOperator<String> configurationChange,
      FakeHttpServer... upstreams)
      throws Exception {
    this.loop = loop;
    JsonObjectReader fields =
        JsonObjectReader.parse(
            "configuration",
            configurationChange.apply(
                TestProxy.configurationJson(TestProxy.unreachableAddress(), 3, upstreams)));
    var settings = PolicySettingsReader.read(fields.nested("settings"));
    AdaptiveLoadBalancingPolicy policy = new AdaptiveLoadBalancingPolicy(settings, 1);
    coordinator =
        new RequestCoordinator(
            settings,
            (nowNanos, event, actions) -> {
              eventListener.accept(event);
              policy.handle(nowNanos, event, actions);
            },
            new CoordinatorEnvironment(
                loop,
                new EpochClock(),
                new EventLoopLag(loop),
                new UpstreamConnectionPools(
                    loop, new ConnectionLimits(5_000_000_000L, 60_000_000_000L, 100))),
            defects::add);
    server = new DownstreamServer(loop, settings, coordinator, MAX_CONNECTIONS);
    EndpointList knownEndpoints = EndpointList.fromJson(fields.nested("known"));
    onLoop(
        () -> {
          coordinator.start(knownEndpoints, watch -> {});
          server.setReady();
          return null;
        });
    address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /**
   * Submits a change of the endpoint list: one entry, named s- and this number. The future
   * completes once the event loop has handled it.
   */
  Future<?> updateEndpoint(int number, FakeHttpServer upstream, EndpointStatus status) {
    EndpointDescriptor descriptor =
        new EndpointDescriptor(EndpointList.endpointId("s-" + number), "a", 1, status, 0, 1);
    return loop.submit(
        () ->
            coordinator.updateEndpoints(
                new EndpointList(
                    8, false, List.of(new EndpointList.Endpoint(upstream.address(), descriptor)))));
  }

  /** How many client connections are open. */
  int openConnections() {
    return onLoop(server::openConnections);
  }

  /** How many connections have received a part of a request. */
  long partialRequests() {
    return onLoop(
        () ->
            server.connections().stream()
                .filter(connection -> connection.isAwaitingRequest() && !connection.isIdle())
                .count());
  }

  /** Starts the graceful shutdown. */
  void startGracefulShutdown() {
    onLoop(
        () -> {
          server.beginGracefulShutdown();
          return null;
        });
  }

  /** Closes idle connections and marks the others to close after their response. */
  void closeIdleConnections() {
    onLoop(
        () -> {
          server.closeIdleConnections();
          return null;
        });
  }

  /** Ends connections whose request is not complete. */
  void closeIncompleteRequests() {
    onLoop(
        () -> {
          server.endIncompleteRequests();
          return null;
        });
  }

  private <T> T onLoop(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }
}
