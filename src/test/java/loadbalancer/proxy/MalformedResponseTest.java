package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests malformed responses of upstreams, and bytes that belong to no response. */
class MalformedResponseTest {

  private static final int FAILED_STATUS = 502;

  private static FakeHttpServer.RequestHandler respondWith(String text) {
    return (request, connection, output) -> FakeHttpServer.write(output, text);
  }

  private static Arguments row(String name, String text) {
    return Arguments.of(name, text);
  }

  /** The upstream sends nothing more and keeps the connection open, so only the proxy closes it. */
  static Stream<Arguments> malformedResponses() {
    return Stream.of(
        row("bytes that are not HTTP, without a line break", "\u0001\u0002noise"),
        row("Content-Length of 3 GiB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfine"),
        row(
            "two equal Content-Length headers",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfine"),
        row(
            "two Content-Length headers in HTTP/1.0",
            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine"),
        row(
            "Content-Length and chunked coding",
            "HTTP/1.1 200 OK\r\n"
                + "Content-Length: 4\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "4\r\n"
                + "fine\r\n"
                + "0\r\n\r\n"),
        row(
            "header line without a colon",
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nfine"),
        row("space before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine"),
        row(
            "transfer coding other than chunked",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"),
        row("line breaks without CR", "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine"),
        row("neither Content-Length nor chunked coding", "HTTP/1.1 200 OK\r\n\r\nfine"),
        row("switch to another protocol", "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\nfine"),
        row("too many interim responses", "HTTP/1.1 102 P\r\n\r\n".repeat(50)),
        row("head above the size limit", "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(3_000)),
        row("incomplete head", "HTTP/1.1 200 OK\r\nContent-Le"),
        row("incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("malformedResponses")
  void malformedResponseFailsTheRequestAndClosesTheConnection(String name, String response)
      throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer(respondWith(response))) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        long startNanos = System.nanoTime();
        assertEquals(FAILED_STATUS, client.exchange(TestClient.keyedRequest("1", 20_000)).status());
        assertTrue(
            System.nanoTime() - startNanos < 15_000_000_000L,
            "the request fails long before its deadline");
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      }
    }
  }

  static Stream<Arguments> unexpectedBytes() {
    return Stream.of(
        row("second response", FakeHttpServer.okResponse("first")),
        row("half a status line", "HTT"),
        row("bytes that are not HTTP", "\u0000\u0001\u0002"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("unexpectedBytes")
  void bytesAfterAResponseAreNotUsedForTheNextRequest(String name, String unexpectedBytes)
      throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              String body = request.contains("X-Correlation-Id: 1\n") ? "first" : "second";
              FakeHttpServer.write(
                  output,
                  FakeHttpServer.okResponse(body) + (body.equals("first") ? unexpectedBytes : ""));
            })) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient first = new TestClient(proxy.address);
          TestClient second = new TestClient(proxy.address)) {
        assertEquals("first", first.exchange(TestClient.keyedRequest("1", 15_000)).body());
        assertEquals("second", second.exchange(TestClient.keyedRequest("2", 15_000)).body());
        assertEquals(2, upstream.connections.size(), "the first connection is not reused");
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      }
    }
  }

  @Test
  void unexpectedBytesCloseAnIdleConnection() throws Exception {
    CountDownLatch firstResponseReceived = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, FakeHttpServer.okResponse("fine"));
              firstResponseReceived.await();
              FakeHttpServer.write(output, "H");
            })) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
        firstResponseReceived.countDown();
        TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
        assertEquals("fine", client.exchange(TestClient.keyedRequest("2", 15_000)).body());
      }
    }
  }

  @Test
  void interimResponsesAndAMalformedLoadReportAreIgnored() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, "HTTP/1.1 103 E\r\nLink: x\r\n\r\n");
              // Longer than the time allowed from the first byte of a response to its last, which
              // does not start with an interim response.
              Thread.sleep(600);
              FakeHttpServer.write(
                  output,
                  "HTTP/1.1 200 OK\r\n"
                      + "X-Backend-Load: inflight==;7,,\r\n"
                      + "Content-Length: 4\r\n\r\n"
                      + "fine");
            })) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
      }
    }
  }
}
