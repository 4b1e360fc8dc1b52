package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Clients that break the protocol get a 4xx or a clean end, and nobody else notices. */
class MalformedRequestTest {

  static Stream<Arguments> requests() {
    String good = TestClient.idempotentRequest("1", 15_000, "");
    return Stream.of(
        Arguments.of(400, good.replace("X-Service-Class: look", "X-Service-Class: none")),
        Arguments.of(400, good.replace("/look/a", "/order")),
        Arguments.of(400, good.replace("acme", "nobody")),
        Arguments.of(400, good.replace("X-Correlation-Id: 1\r\n", "")),
        Arguments.of(400, good.replace("X-Time-Left-Ms: 15000\r\n", "")),
        Arguments.of(400, good.replace("15000", "soon")),
        Arguments.of(400, good.replace("15000", "-1")),
        Arguments.of(400, good.replace("15000", "99999999999999999999")),
        Arguments.of(405, good.replace("GET ", "DELETE ")),
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
  @MethodSource("requests")
  void getsItsStatusAndTheNextClientIsServed(int status, String request) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address);
          TestClient next = new TestClient(node.address)) {
        assertEquals(status, client.exchange(request).status());
        assertEquals(200, next.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
        assertEquals(1, upstream.requests.size(), "none of it went on");
      }
    }
  }

  @Test
  void pipeliningGetsTheFirstAnswerAndAnEnd() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
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
  void idThatIsOpenIsAConflictAndTheFirstKeepsItsAnswer() throws Exception {
    var held = new java.util.concurrent.CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              held.await();
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      TestProxy node = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
      try (TestClient first = new TestClient(node.address);
          TestClient second = new TestClient(node.address)) {
        first.send(TestClient.idempotentRequest("1", 15_000, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        assertEquals(409, second.exchange(TestClient.idempotentRequest("1", 15_000, "")).status());
        held.countDown();
        assertEquals("fine", first.readResponse().body());
      }
    }
  }
}
