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
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/** The listening side with the real module behind it, on a loop that the test may stop and ask. */
final class TestDownstreamServer {

  /** Its limit on connections. */
  static final int MOST = 100;

  final InetSocketAddress address;

  /** What the core found wrong with the module's actions. */
  final Queue<RuntimeException> defects = new ConcurrentLinkedQueue<>();

  private final EventLoop loop;
  private final RequestCoordinator core;
  private final DownstreamServer side;

  /** Listens; {@code heard} is told of each event ahead of the module. */
  TestDownstreamServer(EventLoop loop, Consumer<Event> heard, FakeUpstream... upstreams)
      throws Exception {
    this(loop, heard, configuration -> configuration, upstreams);
  }

  /** As changed from the usual configuration. */
  TestDownstreamServer(
      EventLoop loop,
      Consumer<Event> heard,
      UnaryOperator<String> change,
      FakeUpstream... upstreams)
      throws Exception {
    this.loop = loop;
    JsonObjectReader f =
        JsonObjectReader.parse(
            "configuration", change.apply(TestProxy.json(TestProxy.nowhere(), 3, upstreams)));
    var settings = PolicySettingsReader.read(f.nested("settings"));
    AdaptiveLoadBalancingPolicy module = new AdaptiveLoadBalancingPolicy(settings, 1);
    core =
        new RequestCoordinator(
            settings,
            (now, event, out) -> {
              heard.accept(event);
              module.handle(now, event, out);
            },
            new EpochClock(),
            loop,
            new EventLoopLag(loop),
            new UpstreamConnectionPools(loop, 5_000_000_000L, 60_000_000_000L, 100),
            defects::add);
    side = new DownstreamServer(loop, settings, core, MOST, null);
    EndpointList known = EndpointList.of(f.nested("known"));
    on(
        () -> {
          core.start(known, watch -> {});
          side.setReady();
          return null;
        });
    address = side.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /**
   * The list names this upstream anew, as s- and this number; done once the loop has come to it.
   */
  Future<?> list(int number, FakeUpstream upstream, EndpointStatus state) {
    EndpointDescriptor listed =
        new EndpointDescriptor(EndpointList.idOf("s-" + number), "a", 1, state, 0, 1);
    return loop.submit(
        () ->
            core.news(
                new EndpointList(
                    8, false, List.of(new EndpointList.Host(upstream.address(), listed)))));
  }

  int open() {
    return on(side::openConnections);
  }

  /** Connections on which a part of a request has come. */
  long inPart() {
    return on(
        () ->
            side.connections().stream().filter(c -> c.isAwaitingRequest() && !c.isIdle()).count());
  }

  void drain() {
    on(
        () -> {
          side.beginGracefulShutdown();
          return null;
        });
  }

  void closeIdle() {
    on(
        () -> {
          side.closeIdleConnections();
          return null;
        });
  }

  void endUntaken() {
    on(
        () -> {
          side.endIncompleteRequests();
          return null;
        });
  }

  private <T> T on(Callable<T> work) {
    try {
      return loop.submit(work).get();
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }
}
