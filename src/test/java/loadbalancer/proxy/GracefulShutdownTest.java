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
 * Tests the steps of the downstream server's graceful shutdown: every completely received request
 * gets a response, and all other connections are closed.
 */
class GracefulShutdownTest {

  private static final String REQUEST = TestClient.idempotentRequest("1", 20_000, "");

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  @AfterEach
  void shutDownLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void openConnectionIsServedUntilIdleConnectionsAreClosed() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(server.address)) {
        server.startGracefulShutdown();
        TestClient.Response response = client.exchange(REQUEST);
        assertEquals("fine", response.body());
        assertFalse(response.head().contains("connection: close"), response.head());
        assertEquals("fine", client.exchange(REQUEST).body());
        server.closeIdleConnections();
        assertTrue(client.isClosedByServer());
        TestProxy.waitUntil(() -> server.openConnections() == 0);
      }
    }
  }

  @Test
  void partiallyReceivedRequestIsServedOnceComplete() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals("fine", client.exchange(REQUEST).body());
        String requestWithBody = TestClient.keyedRequest("2", 20_000);
        client.send(requestWithBody.substring(0, requestWithBody.length() - 2));
        TestProxy.waitUntil(() -> server.partialRequests() == 1);
        server.closeIdleConnections();
        TestClient.Response response =
            client.exchange(requestWithBody.substring(requestWithBody.length() - 2));
        assertEquals("fine", response.body());
        assertTrue(response.head().contains("connection: close"), response.head());
        assertTrue(client.isClosedByServer());
      }
    }
  }

  @Test
  void unusedConnectionIsKeptForItsFirstRequest() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient client = new TestClient(server.address)) {
        TestProxy.waitUntil(() -> server.openConnections() == 1);
        server.closeIdleConnections();
        TestClient.Response response = client.exchange(REQUEST);
        assertEquals("fine", response.body());
        assertTrue(response.head().contains("connection: close"), response.head());
        assertTrue(client.isClosedByServer());
      }
    }
  }

  @Test
  void incompleteRequestsAreClosedAndRequestsInFlightAreCompleted() throws Exception {
    CountDownLatch responseReleased = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              responseReleased.await();
              FakeHttpServer.write(output, FakeHttpServer.okResponse("fine"));
            })) {
      TestDownstreamServer server = new TestDownstreamServer(loop, event -> {}, upstream);
      try (TestClient incomplete = new TestClient(server.address);
          TestClient unused = new TestClient(server.address);
          TestClient inFlight = new TestClient(server.address)) {
        inFlight.send(REQUEST);
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        incomplete.send("GET /look");
        TestProxy.waitUntil(() -> server.partialRequests() == 1);
        server.closeIdleConnections();
        server.closeIncompleteRequests();
        assertEquals(408, incomplete.readResponse().status());
        assertTrue(incomplete.isClosedByServer());
        assertTrue(unused.isClosedByServer());
        responseReleased.countDown();
        assertEquals("fine", inFlight.readResponse().body());
        assertTrue(inFlight.isClosedByServer());
        TestProxy.waitUntil(() -> server.openConnections() == 0);
      }
    }
  }
}
