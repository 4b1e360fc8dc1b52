package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the protection against clients that send nothing or an incomplete request, attempt request
 * smuggling, repeat invalid requests or open too many connections. Such a client gets an error, a
 * delay or a close, and other clients are served.
 */
class ClientConnectionLimitsTest {

  private static final String KEYED_REQUEST = TestClient.keyedRequest("1", 15_000);

  @Test
  void connectionWithoutInputIsClosed() throws Exception {
    try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1);
        TestClient idleClient = new TestClient(proxy.address)) {
      assertTrue(idleClient.isClosedByServer());
    }
  }

  static Stream<String> incompleteRequests() {
    return Stream.of(
        "GET /look HTTP/1.1\r\nHost: h\r\n",
        "G",
        KEYED_REQUEST.replace("Length: 4", "Length: 400"),
        KEYED_REQUEST
            .replace("Content-Length: 4", "Transfer-Encoding: chunked")
            .replace("body", "4\r\nbody\r\n"));
  }

  @ParameterizedTest
  @MethodSource("incompleteRequests")
  void incompleteRequestGets408AndTheConnectionIsClosed(String incompleteRequest) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals(408, client.exchange(incompleteRequest).status());
        assertTrue(client.isClosedByServer());
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  private static Arguments modifiedRequest(int status, String from, String to) {
    return Arguments.of(status, KEYED_REQUEST.replace(from, to));
  }

  /**
   * Requests with ambiguous or invalid framing. Where the length and the transfer coding disagree,
   * a second request is hidden behind the end that the coding gives.
   */
  static Stream<Arguments> ambiguousRequests() {
    String smuggledBody = "0\r\n\r\n" + TestClient.idempotentRequest("2", 15_000, "");
    String lengthAndEncoding =
        "Content-Length: " + smuggledBody.length() + "\r\nTransfer-Encoding: ";
    return Stream.of(
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "chunked\r\n\r\n" + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "gzip, chunked\r\n\r\n" + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "identity\r\n\r\n" + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "\tchunked\r\n\r\n" + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "\r\n chunked\r\n\r\n" + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding.replace("Encoding:", "Encoding :")
                + "chunked\r\n\r\n"
                + smuggledBody),
        modifiedRequest(
            400,
            "Content-Length: 4\r\n\r\nbody",
            lengthAndEncoding + "chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggledBody),
        modifiedRequest(400, "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"),
        modifiedRequest(400, "Content-Length: 4", "Content-Length: 4, 4"),
        modifiedRequest(400, "Content-Length: 4", "Content-Length: +4"),
        modifiedRequest(400, "Content-Length: 4", "Content-Length: -4"),
        modifiedRequest(400, "Content-Length: 4", "Content-Length: 4\nX: y"),
        modifiedRequest(505, "HTTP/1.1", "HTTP/1.0"),
        modifiedRequest(413, "Content-Length: 4\r\n\r\nbody", "Content-Length: 62914560\r\n\r\n"),
        modifiedRequest(
            400, "Content-Length: 4\r\n\r\nbody", "Content-Length: 99999999999999999999\r\n\r\n"));
  }

  @ParameterizedTest
  @MethodSource("ambiguousRequests")
  void ambiguousFramingIsRejectedAndTheConnectionClosed(int status, String request)
      throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address);
          TestClient nextClient = new TestClient(proxy.address)) {
        assertEquals(status, client.exchange(request).status());
        assertTrue(client.isClosedByServer());
        assertEquals(
            200, nextClient.exchange(TestClient.idempotentRequest("3", 15_000, "")).status());
        assertEquals(1, upstream.requests.size(), "the rejected request must not be forwarded");
      }
    }
  }

  static Stream<String> repeatedHeaders() {
    return Stream.of(
        "X-Correlation-Id: 2",
        "X-Service-Class: order",
        "X-Account: acme",
        "X-Session-Key: q",
        "X-Time-Left-Ms: 9",
        "Idempotency-Key: other");
  }

  @ParameterizedTest
  @MethodSource("repeatedHeaders")
  void repeatedProtocolHeaderIsRejected(String header) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals(
            400,
            client.exchange(KEYED_REQUEST.replace("Host: h", "Host: h\r\n" + header)).status());
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  @Test
  void nextRequestAfterAnInvalidOneIsDelayedAndServed() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals(
            400,
            client
                .exchange(TestClient.idempotentRequest("1", 15_000, "").replace("acme", "nobody"))
                .status());
        long rejectedAtNanos = System.nanoTime();
        assertEquals(200, client.exchange(TestClient.idempotentRequest("2", 15_000, "")).status());
        assertTrue(
            System.nanoTime() - rejectedAtNanos > 300_000_000L,
            "reading was not paused after the invalid request");
      }
    }
  }

  @Test
  void unusedConnectionsAtTheLimitAreClosedSoThatAnotherClientIsServed() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy =
          new TestProxy(
              TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream)
                  .replace("\"sockets\":1024", "\"sockets\":20"))) {
        List<TestClient> idleClients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
          idleClients.add(new TestClient(proxy.address));
        }
        try (TestClient client = new TestClient(proxy.address)) {
          assertEquals(
              200, client.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
        }
        for (TestClient idleClient : idleClients) {
          idleClient.close();
        }
      }
    }
  }

  @Test
  void disconnectAfterAPipelinedRequestIsDetected() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        client.send(TestClient.idempotentRequest("1", 15_000, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.send(TestClient.idempotentRequest("2", 15_000, ""));
      }
      long disconnectedAtNanos = System.nanoTime();
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      assertTrue(
          System.nanoTime() - disconnectedAtNanos < 14_000_000_000L,
          "disconnect not detected before the request's time limit");
    }
  }

  @Test
  void warmUpPathIsRejectedForClients() throws Exception {
    try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1);
        TestClient client = new TestClient(proxy.address)) {
      assertEquals(400, client.exchange("GET /live HTTP/1.1\r\nHost: h\r\n\r\n").status());
    }
  }

  /**
   * Connections beyond the limit would use up the file descriptors that connections to upstreams
   * and to discovery need. The event loop is blocked while the clients connect, so that it finds
   * all of them waiting at once.
   */
  @Test
  void numberOfOpenConnectionsReachesButNeverExceedsTheLimit() throws Exception {
    EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    List<TestClient> clients = new ArrayList<>();
    try {
      TestDownstreamServer server = new TestDownstreamServer(loop, event -> {});
      CountDownLatch releaseLoop = new CountDownLatch(1);
      TestProxy.block(loop, releaseLoop);
      for (int i = 0; i < 2 * TestDownstreamServer.MAX_CONNECTIONS; i++) {
        clients.add(new TestClient(server.address));
      }
      releaseLoop.countDown();
      int[] maxOpen = {0};
      TestProxy.waitUntil(
          () -> {
            maxOpen[0] = Math.max(maxOpen[0], server.openConnections());
            return maxOpen[0] >= TestDownstreamServer.MAX_CONNECTIONS;
          });
      for (int i = 0; i < 1_000; i++) {
        maxOpen[0] = Math.max(maxOpen[0], server.openConnections());
      }
      assertEquals(TestDownstreamServer.MAX_CONNECTIONS, maxOpen[0]);
    } finally {
      for (TestClient client : clients) {
        client.close();
      }
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
