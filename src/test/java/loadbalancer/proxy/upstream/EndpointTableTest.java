package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is remembered of upstreams that come and go all day. */
class EndpointTableTest {

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final EndpointTable table =
      new EndpointTable(
          new UpstreamConnectionPools(
              loop, new ConnectionLimits(1_000_000_000L, 60_000_000_000L, 10)));

  private static EndpointList.Host host(long id, EndpointStatus state) {
    return new EndpointList.Host(
        TestProxy.unreachableAddress(), new EndpointDescriptor(id, "a", 1, state, 0, 1));
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void thousandReplacedUpstreamsLeaveNothingBehind() {
    table.news(true, List.of(host(0, EndpointStatus.READY)));
    for (int id = 1; id <= 1_000; id++) {
      table.news(
          false, List.of(host(id, EndpointStatus.READY), host(id - 1, EndpointStatus.DRAINING)));
      table.news(false, List.of(host(id - 1, EndpointStatus.REMOVED)));
    }
    assertEquals(1, table.size());
    assertNotNull(table.get(1_000));
  }

  @Test
  void oneThatIsGoneIsRememberedWhileAnAttemptIsOut() {
    table.news(true, List.of(host(1, EndpointStatus.READY), host(2, EndpointStatus.READY)));
    EndpointTable.Entry first = table.get(1);
    table.started(first);
    table.news(true, List.of(host(2, EndpointStatus.READY)));
    assertSame(first, table.get(1));
    assertTrue(first.leaving(), "absent from a whole list");
    table.ended(first);
    assertNull(table.get(1));
    assertTrue(first.leaving(), "a send that is still to come may ask");
  }

  @Test
  void successorAtTheSameAddressInheritsNothing() {
    table.news(true, List.of(host(1, EndpointStatus.READY)));
    table.news(false, List.of(host(1, EndpointStatus.DRAINING)));
    EndpointConnectionPool before = table.get(1).pool();
    table.news(false, List.of(host(2, EndpointStatus.READY)));
    EndpointConnectionPool after = table.get(2).pool();
    assertEquals(before.address(), after.address());
    assertFalse(before == after);
    assertFalse(table.get(2).leaving());
    assertTrue(table.get(1).leaving());
  }

  @Test
  void oneThatIsReadyAgainLeavesNoMore() {
    table.news(true, List.of(host(1, EndpointStatus.READY)));
    table.news(false, List.of(host(1, EndpointStatus.DRAINING)));
    table.news(false, List.of(host(1, EndpointStatus.REMOVED)));
    table.news(false, List.of(host(1, EndpointStatus.READY)));
    assertFalse(table.get(1).leaving());
  }
}
