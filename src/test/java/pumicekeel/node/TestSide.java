package pumicekeel.node;

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
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Listed;
import pumicekeel.Balancer.State;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** The listening side with the real module behind it, on a loop that the test may stop and ask. */
final class TestSide {

  /** Its limit on connections. */
  static final int MOST = 100;

  final InetSocketAddress address;

  /** What the core found wrong with the module's actions. */
  final Queue<RuntimeException> defects = new ConcurrentLinkedQueue<>();

  private final EventLoop loop;
  private final BalancerCore core;
  private final ClientSide side;

  /** Listens; {@code heard} is told of each event ahead of the module. */
  TestSide(EventLoop loop, Consumer<Event> heard, FakeServer... upstreams) throws Exception {
    this(loop, heard, configuration -> configuration, upstreams);
  }

  /** As changed from the usual configuration. */
  TestSide(
      EventLoop loop, Consumer<Event> heard, UnaryOperator<String> change, FakeServer... upstreams)
      throws Exception {
    this.loop = loop;
    Fields f =
        Fields.parse(
            "configuration", change.apply(TestNode.json(TestNode.nowhere(), 3, upstreams)));
    var settings = Decoder.settings(f.nested("settings"));
    AdaptiveBalancer module = new AdaptiveBalancer(settings, 1);
    core =
        new BalancerCore(
            settings,
            (now, event, out) -> {
              heard.accept(event);
              module.handle(now, event, out);
            },
            new Clock(),
            loop,
            new LoopLag(loop),
            new ConnectionPool(loop, 5_000_000_000L, 60_000_000_000L, 100),
            defects::add);
    side = new ClientSide(loop, settings, core, MOST, null);
    HostList known = HostList.of(f.nested("known"));
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
  Future<?> list(int number, FakeServer upstream, State state) {
    Listed listed = new Listed(HostList.idOf("s-" + number), "a", 1, state, 0, 1);
    return loop.submit(
        () ->
            core.news(
                new HostList(8, false, List.of(new HostList.Host(upstream.address(), listed)))));
  }

  int open() {
    return on(side::open);
  }

  /** Connections on which a part of a request has come. */
  long inPart() {
    return on(() -> side.connections().stream().filter(c -> c.untaken() && !c.idle()).count());
  }

  void drain() {
    on(
        () -> {
          side.drain();
          return null;
        });
  }

  void closeIdle() {
    on(
        () -> {
          side.closeIdle();
          return null;
        });
  }

  void endUntaken() {
    on(
        () -> {
          side.endUntaken();
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
