package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how updates of the endpoint list add, replace and remove endpoints. */
class EndpointTableTest {

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final EndpointTable table =
      new EndpointTable(
          new UpstreamConnectionPools(
              loop, new ConnectionLimits(1_000_000_000L, 60_000_000_000L, 10)));

  private static EndpointList.Endpoint entry(long id, EndpointStatus status) {
    return new EndpointList.Endpoint(
        TestProxy.unreachableAddress(), new EndpointDescriptor(id, "a", 1, status, 0, 1));
  }

  @AfterEach
  void stopLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void replacedEndpointsAreRemovedFromTheTable() {
    table.applyFullList(List.of(entry(0, EndpointStatus.READY)));
    for (int id = 1; id <= 1_000; id++) {
      table.applyChanges(
          List.of(entry(id, EndpointStatus.READY), entry(id - 1, EndpointStatus.DRAINING)));
      table.applyChanges(List.of(entry(id - 1, EndpointStatus.REMOVED)));
    }
    assertEquals(1, table.size());
    assertNotNull(table.find(1_000));
  }

  @Test
  void removedEndpointIsKeptWhileAnAttemptIsInFlight() {
    table.applyFullList(List.of(entry(1, EndpointStatus.READY), entry(2, EndpointStatus.READY)));
    UpstreamEndpoint first = table.find(1);
    table.attemptStarted(first);
    table.applyFullList(List.of(entry(2, EndpointStatus.READY)));
    assertSame(first, table.find(1));
    assertTrue(first.isDraining(), "an endpoint absent from a full list gets no new requests");
    table.attemptCompleted(first);
    assertNull(table.find(1));
    assertTrue(
        first.isDraining(), "an attempt that still holds the endpoint sees that it was removed");
  }

  @Test
  void endpointAtAReusedAddressGetsItsOwnPool() {
    table.applyFullList(List.of(entry(1, EndpointStatus.READY)));
    table.applyChanges(List.of(entry(1, EndpointStatus.DRAINING)));
    EndpointConnectionPool before = table.find(1).pool();
    table.applyChanges(List.of(entry(2, EndpointStatus.READY)));
    EndpointConnectionPool after = table.find(2).pool();
    assertEquals(before.address(), after.address());
    assertNotSame(before, after);
    assertFalse(table.find(2).isDraining());
    assertTrue(table.find(1).isDraining());
  }

  @Test
  void endpointThatIsReadyAgainIsNotDraining() {
    table.applyFullList(List.of(entry(1, EndpointStatus.READY)));
    table.applyChanges(List.of(entry(1, EndpointStatus.DRAINING)));
    table.applyChanges(List.of(entry(1, EndpointStatus.REMOVED)));
    table.applyChanges(List.of(entry(1, EndpointStatus.READY)));
    assertFalse(table.find(1).isDraining());
  }

  @Test
  void entryThatDiffersInAnyFieldIsNotCurrent() {
    EndpointStatus ready = EndpointStatus.READY;
    List<EndpointDescriptor> others =
        List.of(
            new EndpointDescriptor(2, "a", 1, ready, 0, 1),
            new EndpointDescriptor(1, "b", 1, ready, 0, 1),
            new EndpointDescriptor(1, "a", 2, ready, 0, 1),
            new EndpointDescriptor(1, "a", 1, EndpointStatus.DRAINING, 0, 1),
            new EndpointDescriptor(1, "a", 1, ready, 1, 1),
            new EndpointDescriptor(1, "a", 1, ready, 0, 2));
    assertEquals(EndpointDescriptor.class.getRecordComponents().length, others.size());
    EndpointList.Endpoint current = entry(1, ready);
    table.applyFullList(List.of(current));
    assertTrue(table.isCurrent(current));
    for (EndpointDescriptor other : others) {
      assertFalse(table.isCurrent(new EndpointList.Endpoint(current.address(), other)));
    }
    InetSocketAddress address = new InetSocketAddress("127.0.0.2", 1);
    assertFalse(table.isCurrent(new EndpointList.Endpoint(address, current.descriptor())));
    table.applyFullList(List.of());
    assertFalse(table.isCurrent(current), "removed by absence from the list");
  }
}
