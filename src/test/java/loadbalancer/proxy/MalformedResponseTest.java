package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Upstreams that answer what can't be used, or more than was asked for. */
class MalformedResponseTest {

  private static final int FAILED = 502;

  private static FakeHttpServer.RequestHandler says(String answer) {
    return (request, connection, out) -> FakeHttpServer.write(out, answer);
  }

  private static Arguments row(String name, String answer) {
    return Arguments.of(name, answer);
  }

  /**
   * All leave the connection open and silent: only a close on the balancer's side shows that they
   * were seen.
   */
  static Stream<Arguments> spoilt() {
    return Stream.of(
        row("noise without a line's end", "\u0001\u0002noise"),
        row("3 GB announced", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfine"),
        row("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfine"),
        row(
            "two lengths in 1.0",
            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine"),
        row(
            "length and chunks",
            "HTTP/1.1 200 OK\r\n"
                + "Content-Length: 4\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "4\r\n"
                + "fine\r\n"
                + "0\r\n\r\n"),
        row(
            "a line without a colon",
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nfine"),
        row("a blank ahead of a colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine"),
        row(
            "another coding",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"),
        row("lines ended by LF alone", "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine"),
        row("neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nfine"),
        row("another protocol", "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\nfine"),
        row("interim answers without end", "HTTP/1.1 102 P\r\n\r\n".repeat(50)),
        row("a head without end", "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(3_000)),
        row("a head that stalls", "HTTP/1.1 200 OK\r\nContent-Le"),
        row("a body that stalls", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("spoilt")
  void spoiltAnswerIsAFailureAtOnceAndItsConnectionIsClosed(String name, String answer)
      throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer(says(answer))) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        long start = System.nanoTime();
        assertEquals(FAILED, client.exchange(TestClient.keyedRequest("1", 20_000)).status());
        assertTrue(
            System.nanoTime() - start < 15_000_000_000L, "long before the request's time is up");
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      }
    }
  }

  static Stream<Arguments> surplus() {
    return Stream.of(
        row("a second copy", FakeHttpServer.okResponse("mine")),
        row("half a line", "HTT"),
        row("noise", "\u0000\u0001\u0002"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("surplus")
  void whatComesBehindAnAnswerIsNeverTheNextOnes(String name, String behind) throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              String body = request.contains("X-Correlation-Id: 1\n") ? "mine" : "next";
              FakeHttpServer.write(
                  out, FakeHttpServer.okResponse(body) + (body.equals("mine") ? behind : ""));
            })) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient first = new TestClient(node.address);
          TestClient second = new TestClient(node.address)) {
        assertEquals("mine", first.exchange(TestClient.keyedRequest("1", 15_000)).body());
        assertEquals("next", second.exchange(TestClient.keyedRequest("2", 15_000)).body());
        assertEquals(2, upstream.connections.size(), "the first connection is of no further use");
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      }
    }
  }

  @Test
  void whatComesOnAnIdleConnectionClosesIt() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              answered.await();
              FakeHttpServer.write(out, "H");
            })) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
        answered.countDown();
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
        assertEquals("fine", client.exchange(TestClient.keyedRequest("2", 15_000)).body());
      }
    }
  }

  @Test
  void interimAnswersAndAnUnreadableReportSpoilNothing() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, "HTTP/1.1 103 E\r\nLink: x\r\n\r\n");
              // Longer than an answer may take from its first byte to its last: an interim one is
              // not its first byte.
              Thread.sleep(600);
              FakeHttpServer.write(
                  out,
                  "HTTP/1.1 200 OK\r\n"
                      + "X-Backend-Load: inflight==;7,,\r\n"
                      + "Content-Length: 4\r\n\r\n"
                      + "fine");
            })) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
      }
    }
  }
}
