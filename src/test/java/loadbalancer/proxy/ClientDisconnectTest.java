package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loadbalancer.policy.event.ClientDisconnected;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The disconnect of a client with a request in flight is detected whatever input precedes it, and
 * cancels the request's attempt at once.
 */
class ClientDisconnectTest extends ClientDisconnectFixture {

  static Stream<Arguments> inputBehindTheRequest() {
    return Stream.of(true, false)
        .flatMap(
            reset ->
                Stream.of(
                    Arguments.of("nothing", "", "", reset),
                    Arguments.of("noise in one piece with it", "nonsense\r\n\r\n", "", reset),
                    Arguments.of(
                        "noise in one piece with it, and more",
                        "nonsense\r\n\r\n",
                        "x".repeat(9_000),
                        reset),
                    Arguments.of("another request in one piece with it", request("2"), "", reset),
                    Arguments.of("part of another request", "", "GET /look", reset),
                    Arguments.of("much", "", "x".repeat(60_000), reset)));
  }

  @ParameterizedTest(name = "{0}, reset {3}")
  @MethodSource("inputBehindTheRequest")
  void disconnectIsDetectedWhateverFollowsTheRequest(
      String name, String together, String later, boolean reset) throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        client.send(request("1") + together);
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.send(later).disconnect(reset);
      }
      assertInstanceOf(
          ClientDisconnected.class,
          endEvents.poll(30, TimeUnit.SECONDS),
          "no disconnect within the request's time limit");
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  /** The penalty for an invalid request pauses reading, but not with a request in flight. */
  @Test
  void disconnectIsDetectedDuringAPenalty() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        client.send(request("0").replace("acme", "nobody") + request("1") + request("2"));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.disconnect(false);
      }
      assertInstanceOf(
          ClientDisconnected.class,
          endEvents.poll(30, TimeUnit.SECONDS),
          "no disconnect within the request's time limit");
    }
  }

  @Test
  void floodBehindARequestGets400AtOnceAndItsAttemptIsCancelled() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        client.send(request("1"));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        // Just over the limit: a longer text would still be written when the connection closes.
        client.send("x".repeat((64 << 10) + 1));
        assertEquals(400, client.readResponse().status());
      }
      assertInstanceOf(
          ClientDisconnected.class,
          endEvents.poll(30, TimeUnit.SECONDS),
          "no disconnect within the request's time limit");
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  /** Even if the request asked for the connection to be closed after its response. */
  @Test
  void clientThatClosesItsSendingHalfHasDisconnected() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (!request.contains("X-Correlation-Id: 1\n")) {
                FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              }
            })) {
      TestDownstreamServer server = start(upstream);
      try (TestClient readClient = new TestClient(server.address);
          TestClient unreadClient = new TestClient(server.address)) {
        readClient.send(
            TestClient.idempotentRequest("1", TIME_LEFT_MILLIS, "Connection: close\r\n"));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        readClient.shutdownOutput();
        assertInstanceOf(
            ClientDisconnected.class,
            endEvents.poll(30, TimeUnit.SECONDS),
            "no disconnect within the request's time limit");
        assertTrue(readClient.isClosedByServer());
        assertEquals(
            200,
            unreadClient.exchange(request("2")).status(),
            "opens the connections that the next request uses");
        CountDownLatch loopMayContinue = blockLoop();
        unreadClient
            .send(TestClient.idempotentRequest("3", TIME_LEFT_MILLIS, "Connection: close\r\n"))
            .shutdownOutput();
        loopMayContinue.countDown();
        assertTrue(unreadClient.isClosedByServer());
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextIsServed(server, upstream, 3);
    }
  }

  /**
   * The disconnect may be read only after another connection has sent a request with the same id,
   * whose client is still connected.
   */
  @ParameterizedTest(name = "reset {0}")
  @ValueSource(booleans = {false, true})
  void clientThatRepeatsItsRequestOnAnotherConnectionIsServed(boolean reset) throws Exception {
    CountDownLatch upstreamMayRespond = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (request.contains("X-Correlation-Id: again\n")) {
                upstreamMayRespond.await();
              }
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      TestDownstreamServer server = start(upstream);
      try (TestClient first = new TestClient(server.address);
          TestClient second = new TestClient(server.address)) {
        assertEquals(200, first.exchange(request("1")).status());
        assertEquals(200, second.exchange(request("2")).status());
        CountDownLatch loopMayContinue = blockLoop();
        first.send(request("again")).disconnect(reset);
        second.send(request("again"));
        loopMayContinue.countDown();
        TestProxy.waitUntil(() -> server.openConnections() == 1);
        upstreamMayRespond.countDown();
        assertEquals(200, second.readResponse().status());
      }
      assertEquals(3, upstream.requests.size());
    }
  }
}
