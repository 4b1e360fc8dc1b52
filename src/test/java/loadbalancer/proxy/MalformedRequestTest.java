package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that requests that violate the protocol get a 4xx, and that other clients are served. */
class MalformedRequestTest {

  static Stream<Arguments> malformedRequests() {
    String validRequest = TestClient.idempotentRequest("1", 15_000, "");
    return Stream.of(
        Arguments.of(400, validRequest.replace("X-Service-Class: look", "X-Service-Class: none")),
        Arguments.of(400, validRequest.replace("/look/a", "/order")),
        Arguments.of(400, validRequest.replace("acme", "nobody")),
        Arguments.of(400, validRequest.replace("X-Correlation-Id: 1\r\n", "")),
        Arguments.of(400, validRequest.replace("X-Time-Left-Ms: 15000\r\n", "")),
        Arguments.of(400, validRequest.replace("15000", "soon")),
        Arguments.of(400, validRequest.replace("15000", "-1")),
        Arguments.of(400, validRequest.replace("15000", "99999999999999999999")),
        Arguments.of(405, validRequest.replace("GET ", "DELETE ")),
        Arguments.of(
            400, TestClient.keyedRequest("1", 15_000).replace("Idempotency-Key: once-1\r\n", "")),
        Arguments.of(
            413,
            TestClient.keyedRequest("1", 15_000).replace("Length: 4", "Length: 70000")
                + "x".repeat(70_000)),
        Arguments.of(400, "nonsense\r\n\r\n"),
        Arguments.of(
            400,
            TestClient.idempotentRequest("1", 15_000, "X-Long: " + "x".repeat(20_000) + "\r\n")),
        Arguments.of(
            400, TestClient.keyedRequest("1", 15_000).replace("Length: 4", "Length: four")));
  }

  @ParameterizedTest
  @MethodSource("malformedRequests")
  void malformedRequestGets4xxAndTheNextClientIsServed(int status, String request)
      throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address);
          TestClient nextClient = new TestClient(proxy.address)) {
        assertEquals(status, client.exchange(request).status());
        assertEquals(
            200, nextClient.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
        assertEquals(1, upstream.requests.size(), "the malformed request must not be forwarded");
      }
    }
  }

  @Test
  void pipelinedRequestIsDiscardedAndTheConnectionIsClosedAfterTheFirstResponse() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        client.send(
            TestClient.idempotentRequest("1", 15_000, "")
                + TestClient.idempotentRequest("2", 15_000, ""));
        assertEquals("fine", client.readResponse().body());
        assertTrue(client.isClosedByServer());
        assertEquals(1, upstream.requests.size());
      }
    }
  }

  @Test
  void requestWithTheIdOfARequestInFlightGets409AndTheFirstIsServed() throws Exception {
    CountDownLatch releaseUpstream = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              releaseUpstream.await();
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient first = new TestClient(proxy.address);
          TestClient second = new TestClient(proxy.address)) {
        first.send(TestClient.idempotentRequest("1", 15_000, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        assertEquals(409, second.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
        releaseUpstream.countDown();
        assertEquals("fine", first.readResponse().body());
      }
    }
  }
}
