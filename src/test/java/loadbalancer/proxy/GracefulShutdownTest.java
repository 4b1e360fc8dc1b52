package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A planned stop, step by step: each client that is owed an answer gets it, and the rest is closed
 * in the end.
 */
class GracefulShutdownTest {

  private static final String LOOK = TestClient.look("1", 20_000, "");

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void keptConnectionIsServedOnUntilTheIdleOnesGo() throws Exception {
    try (FakeUpstream upstream = FakeUpstream.serving("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        side.drain();
        TestClient.Reply reply = client.call(LOOK);
        assertEquals("fine", reply.body());
        assertFalse(reply.head().contains("connection: close"), reply.head());
        assertEquals("fine", client.call(LOOK).body());
        side.closeIdle();
        assertTrue(client.ended());
        TestProxy.until(() -> side.open() == 0);
      }
    }
  }

  @Test
  void requestThatHasComeInPartIsServedOnceItIsWhole() throws Exception {
    try (FakeUpstream upstream = FakeUpstream.serving("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        assertEquals("fine", client.call(LOOK).body());
        String order = TestClient.order("2", 20_000);
        client.send(order.substring(0, order.length() - 2));
        TestProxy.until(() -> side.inPart() == 1);
        side.closeIdle();
        TestClient.Reply reply = client.call(order.substring(order.length() - 2));
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(client.ended());
      }
    }
  }

  @Test
  void newConnectionMayStillAsk() throws Exception {
    try (FakeUpstream upstream = FakeUpstream.serving("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        TestProxy.until(() -> side.open() == 1);
        side.closeIdle();
        TestClient.Reply reply = client.call(LOOK);
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(client.ended());
      }
    }
  }

  @Test
  void inTheEndPartsAreAnsweredSilentOnesClosedAndWhatWasTakenIsServed() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    try (FakeUpstream upstream =
        new FakeUpstream(
            (request, connection, out) -> {
              held.await();
              FakeUpstream.write(out, FakeUpstream.ok("fine"));
            })) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient part = new TestClient(side.address);
          TestClient silent = new TestClient(side.address);
          TestClient taken = new TestClient(side.address)) {
        taken.send(LOOK);
        TestProxy.until(() -> upstream.requests.size() == 1);
        part.send("GET /look");
        TestProxy.until(() -> side.inPart() == 1);
        side.closeIdle();
        side.endUntaken();
        assertEquals(408, part.read().status());
        assertTrue(part.ended());
        assertTrue(silent.ended());
        held.countDown();
        assertEquals("fine", taken.read().body());
        assertTrue(taken.ended());
        TestProxy.until(() -> side.open() == 0);
      }
    }
  }
}
