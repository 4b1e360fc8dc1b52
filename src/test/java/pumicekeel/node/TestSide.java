package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer.Event;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** The listening side with the real module behind it, on a loop that the test may stop and ask. */
final class TestSide {

  /** Its limit on connections. */
  static final int MOST = 100;

  final InetSocketAddress address;
  private final EventLoop loop;
  private final ClientSide side;

  /** Listens; {@code heard} is told of each event ahead of the module. */
  TestSide(EventLoop loop, Consumer<Event> heard, FakeServer... upstreams) throws Exception {
    this.loop = loop;
    Fields f = Fields.parse("configuration", TestNode.json(TestNode.nowhere(), 3, upstreams));
    var settings = Decoder.settings(f.nested("settings"));
    AdaptiveBalancer module = new AdaptiveBalancer(settings, 1);
    BalancerCore core = new BalancerCore(settings, (now, event, out) -> {
      heard.accept(event);
      module.handle(now, event, out);
    }, new Clock(), loop, new LoopLag(loop), new ConnectionPool(loop, 5_000_000_000L, 60_000_000_000L, 100),
        defect -> {});
    side = new ClientSide(loop, settings, core, MOST, null);
    HostList known = HostList.of(f.nested("known"));
    on(() -> {
      core.start(known, watch -> {});
      side.setReady();
      return null;
    });
    address = side.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  int open() {
    return on(side::open);
  }

  /** Connections on which a part of a request has come. */
  long inPart() {
    return on(() -> side.connections().stream().filter(c -> c.untaken() && !c.idle()).count());
  }

  void drain() {
    on(() -> {
      side.drain();
      return null;
    });
  }

  void closeIdle() {
    on(() -> {
      side.closeIdle();
      return null;
    });
  }

  void endUntaken() {
    on(() -> {
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
