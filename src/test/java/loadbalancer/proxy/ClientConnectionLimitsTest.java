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
 * Clients that say nothing, never finish, hide something or flood: each gets an error or an end,
 * all others go on.
 */
class ClientConnectionLimitsTest {

  private static final String ORDER = TestClient.keyedRequest("1", 15_000);

  @Test
  void silentConnectionIsEnded() throws Exception {
    TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1);
    try (TestClient silent = new TestClient(node.address)) {
      assertTrue(silent.isClosedByServer());
    }
  }

  static Stream<String> unfinished() {
    return Stream.of(
        "GET /look HTTP/1.1\r\nHost: h\r\n",
        "G",
        ORDER.replace("Length: 4", "Length: 400"),
        ORDER
            .replace("Content-Length: 4", "Transfer-Encoding: chunked")
            .replace("body", "4\r\nbody\r\n"));
  }

  @ParameterizedTest
  @MethodSource("unfinished")
  void requestThatNeverEndsIsAnswered408AndEnded(String part) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(408, client.exchange(part).status());
        assertTrue(client.isClosedByServer());
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  private static Arguments row(int status, String from, String to) {
    return Arguments.of(status, ORDER.replace(from, to));
  }

  /**
   * With what is hidden in the body: each must be refused as a whole, and nothing of it passed on.
   */
  static Stream<Arguments> smuggled() {
    String hidden = "0\r\n\r\n" + TestClient.idempotentRequest("2", 15_000, "");
    String both = "Content-Length: " + hidden.length() + "\r\nTransfer-Encoding: ";
    return Stream.of(
        row(400, "Content-Length: 4\r\n\r\nbody", both + "chunked\r\n\r\n" + hidden),
        row(400, "Content-Length: 4\r\n\r\nbody", both + "gzip, chunked\r\n\r\n" + hidden),
        row(400, "Content-Length: 4\r\n\r\nbody", both + "identity\r\n\r\n" + hidden),
        row(400, "Content-Length: 4\r\n\r\nbody", both + "\tchunked\r\n\r\n" + hidden),
        row(400, "Content-Length: 4\r\n\r\nbody", both + "\r\n chunked\r\n\r\n" + hidden),
        row(
            400,
            "Content-Length: 4\r\n\r\nbody",
            both.replace("Encoding:", "Encoding :") + "chunked\r\n\r\n" + hidden),
        row(
            400,
            "Content-Length: 4\r\n\r\nbody",
            both + "chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden),
        row(400, "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"),
        row(400, "Content-Length: 4", "Content-Length: 4, 4"),
        row(400, "Content-Length: 4", "Content-Length: +4"),
        row(400, "Content-Length: 4", "Content-Length: -4"),
        row(400, "Content-Length: 4", "Content-Length: 4\nX: y"),
        row(505, "HTTP/1.1", "HTTP/1.0"),
        row(413, "Content-Length: 4\r\n\r\nbody", "Content-Length: 62914560\r\n\r\n"),
        row(400, "Content-Length: 4\r\n\r\nbody", "Content-Length: 99999999999999999999\r\n\r\n"));
  }

  @ParameterizedTest
  @MethodSource("smuggled")
  void framingThatCanBeReadInTwoWaysIsRefusedAndEnded(int status, String request) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address);
          TestClient next = new TestClient(node.address)) {
        assertEquals(status, client.exchange(request).status());
        assertTrue(client.isClosedByServer());
        assertEquals(200, next.exchange(TestClient.idempotentRequest("3", 15_000, "")).status());
        assertEquals(1, upstream.requests.size(), "nothing of it went on");
      }
    }
  }

  static Stream<String> repeated() {
    return Stream.of(
        "X-Correlation-Id: 2",
        "X-Service-Class: order",
        "X-Account: acme",
        "X-Session-Key: q",
        "X-Time-Left-Ms: 9",
        "Idempotency-Key: other");
  }

  @ParameterizedTest
  @MethodSource("repeated")
  void repeatedProtocolHeaderIsRefused(String header) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(
            400, client.exchange(ORDER.replace("Host: h", "Host: h\r\n" + header)).status());
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  @Test
  void clientToldOfItsMistakeIsSlowedAndStillServed() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(
            400,
            client
                .exchange(TestClient.idempotentRequest("1", 15_000, "").replace("acme", "nobody"))
                .status());
        long told = System.nanoTime();
        assertEquals(200, client.exchange(TestClient.idempotentRequest("2", 15_000, "")).status());
        assertTrue(System.nanoTime() - told > 300_000_000L, "not at full speed");
      }
    }
  }

  @Test
  void silentConnectionsAtTheLimitGiveWayToOneThatAsks() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node =
          new TestProxy(
              TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream)
                  .replace("\"sockets\":1024", "\"sockets\":20"));
      List<TestClient> silent = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        silent.add(new TestClient(node.address));
      }
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
      }
      for (TestClient s : silent) {
        s.close();
      }
    }
  }

  @Test
  void clientThatSentTooMuchIsSeenToLeave() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.idempotentRequest("1", 15_000, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.send(TestClient.idempotentRequest("2", 15_000, ""));
      }
      long start = System.nanoTime();
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      assertTrue(System.nanoTime() - start < 14_000_000_000L, "before the request's time was up");
    }
  }

  @Test
  void warmUpIsAnsweredToNobodyElse() throws Exception {
    TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1);
    try (TestClient client = new TestClient(node.address)) {
      assertEquals(400, client.exchange("GET /live HTTP/1.1\r\nHost: h\r\n\r\n").status());
    }
  }

  /**
   * Guards the descriptors of upstreams and discovery: a crowd that waits to be accepted must not
   * take them.
   */
  @Test
  void crowdIsAcceptedUpToTheLimitAndNoFurther() throws Exception {
    EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    List<TestClient> crowd = new ArrayList<>();
    try {
      TestDownstreamServer side = new TestDownstreamServer(loop, event -> {});
      CountDownLatch behind = new CountDownLatch(1);
      TestProxy.block(loop, behind);
      for (int i = 0; i < 2 * TestDownstreamServer.MAX_CONNECTIONS; i++) {
        crowd.add(new TestClient(side.address));
      }
      behind.countDown();
      int[] most = {0};
      TestProxy.waitUntil(
          () -> {
            most[0] = Math.max(most[0], side.openConnections());
            return most[0] >= TestDownstreamServer.MAX_CONNECTIONS;
          });
      for (int i = 0; i < 1_000; i++) {
        most[0] = Math.max(most[0], side.openConnections());
      }
      assertEquals(TestDownstreamServer.MAX_CONNECTIONS, most[0]);
    } finally {
      for (TestClient client : crowd) {
        client.close();
      }
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
