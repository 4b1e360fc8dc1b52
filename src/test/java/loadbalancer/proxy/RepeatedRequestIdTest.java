package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loadbalancer.policy.event.ClientDisconnected;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests requests whose id comes again after the request has ended. */
class RepeatedRequestIdTest extends ClientDisconnectFixture {

  private static final String KEYED = TestClient.keyedRequest("1", TIME_LEFT_MILLIS);

  static Stream<Named<String>> unreadInput() {
    return Stream.of(
        Named.of("nothing", ""),
        Named.of("part of a request", "POST /order"),
        Named.of("60 kB", "x".repeat(60_000)));
  }

  /** Guards against a request that runs twice as its client leaves and sends it once more. */
  @ParameterizedTest
  @MethodSource("unreadInput")
  void requestThatMayHaveRunIsNotForwardedAgainAfterItsClientHasLeft(String input)
      throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        client.send(KEYED);
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.send(input).disconnect(false);
      }
      assertInstanceOf(
          ClientDisconnected.class, disconnectAndAttemptEvents.poll(30, TimeUnit.SECONDS));
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
      try (TestClient again = new TestClient(server.address)) {
        assertEquals(409, again.exchange(KEYED).status());
      }
      assertEquals(1, upstream.requests.size());
    }
  }

  /** Guards against the same where the response was sent and the client sends it once more. */
  @Test
  void requestThatWasServedIsNotForwardedAgain() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(200, client.exchange(KEYED).status());
        assertEquals(409, client.exchange(KEYED).status());
        assertEquals(1, upstream.requests.size());
      }
    }
  }

  @Test
  void idempotentRequestIsForwardedAgain() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(200, client.exchange(request("1")).status());
        assertEquals(200, client.exchange(request("1")).status());
      }
    }
  }

  /** A client that has left before anything was forwarded may send its request again. */
  @Test
  void requestThatNoUpstreamCanHaveRunIsForwardedWhenItComesAgain() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      CountDownLatch releaseLoop = blockLoop();
      try (TestClient client = new TestClient(server.address)) {
        client.send(KEYED).disconnect(false);
      }
      releaseLoop.countDown();
      try (TestClient again = new TestClient(server.address)) {
        assertEquals(200, again.exchange(KEYED).status());
      }
      assertEquals(1, upstream.requests.size());
    }
  }
}
