package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
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
import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.downstream.RequestDecoder;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * A {@link DownstreamServer} with the real coordinator and policy, on an event loop that a test can
 * block. Methods that return a value or change the state wait for the event loop, except {@link
 * #updateEndpoint}.
 */
final class TestDownstreamServer {

  /** The maximum number of open client connections. */
  static final int MAX_CONNECTIONS = 100;

  /** The address that clients connect to. */
  final InetSocketAddress address;

  /** Exceptions that the coordinator has reported as defects of the policy. */
  final Queue<RuntimeException> defects = new ConcurrentLinkedQueue<>();

  private final EventLoop loop;
  private final RequestCoordinator coordinator;
  private final DownstreamServer server;

  /**
   * Starts a server.
   *
   * @param loop serves all connections
   * @param eventListener receives each event before the policy does, on the event loop
   * @param upstreams the initial endpoint list, named s-0, s-1, ...
   */
  TestDownstreamServer(EventLoop loop, Consumer<Event> eventListener, FakeHttpServer... upstreams)
      throws Exception {
    this(loop, eventListener, configuration -> configuration, upstreams);
  }

  /** Starts a server; {@code configurationChange} is applied to the configuration's JSON text. */
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
   * Submits an update of the endpoint list with one entry. The returned future completes when the
   * event loop has applied it.
   *
   * @param number the number of the endpoint, whose name is {@code s-NUMBER}
   * @param upstream the server at the endpoint's address
   * @param status the new status of the endpoint
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

  /** Returns the number of open client connections. */
  int openConnections() {
    return onLoop(server::openConnections);
  }

  /** Returns the number of connections that have received part of a request. */
  long partialRequests() {
    return onLoop(
        () ->
            server.connections().stream()
                .filter(connection -> connection.isAwaitingRequest() && !connection.isIdle())
                .count());
  }

  /** Begins the graceful shutdown: readiness checks fail from now on. */
  void startGracefulShutdown() {
    onLoop(
        () -> {
          server.beginGracefulShutdown();
          return null;
        });
  }

  /** Closes idle connections, and the others after their next response. */
  void closeIdleConnections() {
    onLoop(
        () -> {
          server.closeIdleConnections();
          return null;
        });
  }

  /** Closes connections without a request in flight, after a 408 where part of one has arrived. */
  void closeIncompleteRequests() {
    onLoop(
        () -> {
          server.endIncompleteRequests();
          return null;
        });
  }

  /**
   * Returns the channel of a client connection without a socket; to be called and used in {@link
   * #onLoop}.
   */
  EmbeddedChannel embeddedClient() {
    ClientConnection connection = new ClientConnection(server);
    return new EmbeddedChannel(
        new RequestDecoder(connection), new HttpResponseEncoder(), connection);
  }

  /** Runs a task on the event loop and returns its result. */
  <T> T onLoop(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }
}
