package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What an upstream does and what the client is told. With one attempt and a keyed class, 429 shows
 * an outcome that proves that nothing ran, 502 one that may have run, 200 a whole answer.
 */
class AttemptOutcomeTest {

  private static final int REFUSED = 429;
  private static final int FAILED = 502;

  private static Arguments row(String name, int status, FakeHttpServer.RequestHandler behaviour) {
    return Arguments.of(name, status, behaviour);
  }

  private static FakeHttpServer.RequestHandler says(String answer) {
    return (request, connection, out) -> FakeHttpServer.write(out, answer);
  }

  private static FakeHttpServer.RequestHandler saysAndEnds(String answer) {
    return (request, connection, out) -> {
      FakeHttpServer.write(out, answer);
      connection.close();
    };
  }

  static Stream<Arguments> behaviours() {
    return Stream.of(
        row("whole answer", 200, says(FakeHttpServer.okResponse("fine"))),
        row(
            "chunked answer",
            200,
            says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n")),
        row(
            "after an interim answer",
            200,
            says("HTTP/1.1 100 Continue\r\n\r\n" + FakeHttpServer.okResponse("fine"))),
        row(
            "no reason given",
            200,
            says("HTTP/1.1 103 \r\n\r\n" + FakeHttpServer.okResponse("fine").replace(" OK", " "))),
        row("error", FAILED, says("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")),
        row(
            "turned away",
            REFUSED,
            says("HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row(
            "over already",
            REFUSED,
            says("HTTP/1.1 504 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row("bare 503", FAILED, says("HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n")),
        row(
            "mark on an error",
            FAILED,
            says("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row("ended with no answer", FAILED, saysAndEnds("")),
        row(
            "reset",
            FAILED,
            (request, connection, out) -> {
              connection.setSoLinger(true, 0);
              connection.close();
            }),
        row("cut short", FAILED, saysAndEnds("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine")),
        row(
            "cut short in chunks",
            FAILED,
            saysAndEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")),
        row("no length", FAILED, saysAndEnds("HTTP/1.1 200 OK\r\n\r\nfine")),
        row("malformed", FAILED, says("nonsense\r\n\r\n")),
        row("too large", FAILED, says(FakeHttpServer.okResponse("x".repeat(70_000)))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("behaviours")
  void clientIsToldTheTruth(String name, int status, FakeHttpServer.RequestHandler behaviour)
      throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer(behaviour)) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        TestClient.Response reply = client.exchange(TestClient.keyedRequest("1", 15_000));
        assertEquals(status, reply.status());
        assertEquals(status == 200 ? "fine" : "", reply.body());
        assertEquals(status == REFUSED, reply.head().contains("retry-after: "));
        assertEquals(1, upstream.requests.size(), "sent once");
      }
    }
  }

  @Test
  void upstreamThatIsNotThereIsARefusal() throws Exception {
    FakeHttpServer upstream = FakeHttpServer.respondingWith("fine");
    upstream.close();
    TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
    try (TestClient client = new TestClient(node.address)) {
      assertEquals(REFUSED, client.exchange(TestClient.keyedRequest("1", 15_000)).status());
    }
  }

  @Test
  void silentUpstreamIsAFailureAndItsConnectionsAreNotUsedAgain() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.exchange(TestClient.keyedRequest("1", 15_000)).status());
        upstream.requestHandler = (request, connection, out) -> {};
        assertEquals(FAILED, client.exchange(TestClient.keyedRequest("2", 1_000)).status());
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
        upstream.requestHandler = says(FakeHttpServer.okResponse("fine"));
        assertEquals(200, client.exchange(TestClient.keyedRequest("3", 15_000)).status());
        assertEquals(2, upstream.connections.size());
      }
    }
  }

  @Test
  void requestGoesOnUnchangedAndItsConnectionIsUsedAgain() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.exchange(TestClient.keyedRequest("1", 15_000));
        client.exchange(TestClient.idempotentRequest("2", 15_000, ""));
      }
      String first = upstream.requests.get(0).toLowerCase();
      assertTrue(first.startsWith("post /order http/1.1\n"), first);
      assertTrue(
          first.contains("x-correlation-id: 1\n") && first.contains("idempotency-key: once-1\n"),
          first);
      assertTrue(first.contains("x-time-left-ms: ") && first.endsWith("\n\nbody"), first);
      assertTrue(
          upstream.requests.get(1).startsWith("GET /look/a?b=c HTTP/1.1\n"),
          upstream.requests.get(1));
      assertEquals(1, upstream.connections.size());
    }
  }

  @Test
  void connectionThatThePeerClosedIsNotWrittenTo() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              connection.shutdownOutput();
            })) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        for (int i = 1; i <= 3; i++) {
          int calls = i;
          assertEquals(200, client.exchange(TestClient.keyedRequest("o" + i, 15_000)).status());
          TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == calls);
          assertEquals(calls, upstream.connections.size());
        }
      }
    }
  }

  @Test
  void clientThatLeavesEndsItsAttempt() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.keyedRequest("1", 15_000));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
      }
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }
}
