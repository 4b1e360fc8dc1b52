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

  private static final String LOOK = TestClient.idempotentRequest("1", 20_000, "");

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void keptConnectionIsServedOnUntilTheIdleOnesGo() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        side.startDraining();
        TestClient.Response reply = client.exchange(LOOK);
        assertEquals("fine", reply.body());
        assertFalse(reply.head().contains("connection: close"), reply.head());
        assertEquals("fine", client.exchange(LOOK).body());
        side.closeIdleConnections();
        assertTrue(client.isClosedByServer());
        TestProxy.waitUntil(() -> side.openConnections() == 0);
      }
    }
  }

  @Test
  void requestThatHasComeInPartIsServedOnceItIsWhole() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        assertEquals("fine", client.exchange(LOOK).body());
        String order = TestClient.keyedRequest("2", 20_000);
        client.send(order.substring(0, order.length() - 2));
        TestProxy.waitUntil(() -> side.partialRequests() == 1);
        side.closeIdleConnections();
        TestClient.Response reply = client.exchange(order.substring(order.length() - 2));
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(client.isClosedByServer());
      }
    }
  }

  @Test
  void newConnectionMayStillAsk() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(side.address)) {
        TestProxy.waitUntil(() -> side.openConnections() == 1);
        side.closeIdleConnections();
        TestClient.Response reply = client.exchange(LOOK);
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(client.isClosedByServer());
      }
    }
  }

  @Test
  void inTheEndPartsAreAnsweredSilentOnesClosedAndWhatWasTakenIsServed() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              held.await();
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient part = new TestClient(side.address);
          TestClient silent = new TestClient(side.address);
          TestClient taken = new TestClient(side.address)) {
        taken.send(LOOK);
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        part.send("GET /look");
        TestProxy.waitUntil(() -> side.partialRequests() == 1);
        side.closeIdleConnections();
        side.closeIncompleteRequests();
        assertEquals(408, part.readResponse().status());
        assertTrue(part.isClosedByServer());
        assertTrue(silent.isClosedByServer());
        held.countDown();
        assertEquals("fine", taken.readResponse().body());
        assertTrue(taken.isClosedByServer());
        TestProxy.waitUntil(() -> side.openConnections() == 0);
      }
    }
  }
}
