package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointStatus;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * No attempt is started for a request whose client has disconnected: not if the disconnect is still
 * unread, and not from the queue, for a retry or after a connect.
 */
class DisconnectBeforeForwardingTest extends ClientDisconnectFixture {

  private static final String UNPROCESSED =
      "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

  /** Input before the disconnect, which a blocked event loop finds unread together with it. */
  static Stream<Arguments> unreadInput() {
    return Stream.of(true, false)
        .flatMap(
            reset ->
                Stream.of(
                    Arguments.of("nothing", "", reset),
                    Arguments.of("a byte", "x", reset),
                    Arguments.of("noise", "nonsense\r\n\r\n", reset),
                    Arguments.of("another request", request("more"), reset),
                    Arguments.of("more than is read in a round", "x".repeat(9_000), reset),
                    Arguments.of("much", "x".repeat(40_000), reset)));
  }

  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unreadInput")
  void requestReadTogetherWithADisconnectIsNotForwarded(
      String name, String unreadInput, boolean reset) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(
            200,
            client.exchange(request("1")).status(),
            "opens the connections that the next request uses");
        CountDownLatch loopMayContinue = blockLoop();
        client.send(request("2")).send(unreadInput).disconnect(reset);
        loopMayContinue.countDown();
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextIsServed(server, upstream, 2);
    }
  }

  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unreadInput")
  void requestWithAnUnreadDisconnectIsNotRetried(String name, String unreadInput, boolean reset)
      throws Exception {
    for (boolean disconnectsFirst : new boolean[] {true, false}) {
      CountDownLatch disconnected = new CountDownLatch(disconnectsFirst ? 1 : 0);
      CountDownLatch upstreamMayRespond = new CountDownLatch(1);
      CountDownLatch upstreamHasResponded = new CountDownLatch(1);
      try (FakeHttpServer upstream =
          new FakeHttpServer(
              (request, connection, out) -> {
                upstreamMayRespond.await();
                disconnected.await();
                FakeHttpServer.write(
                    out,
                    request.contains("X-Correlation-Id: 1\n")
                        ? UNPROCESSED
                        : FakeHttpServer.okResponse("fine"));
                upstreamHasResponded.countDown();
              })) {
        TestDownstreamServer server = start(upstream);
        try (TestClient client = new TestClient(server.address)) {
          client.send(request("1"));
          TestProxy.waitUntil(() -> upstream.requests.size() == 1);
          CountDownLatch loopMayContinue = blockLoop();
          upstreamMayRespond.countDown();
          if (!disconnectsFirst) {
            // The loop reads sockets in the order in which they became readable: it decides on the
            // retry before it reads the disconnect.
            upstreamHasResponded.await();
          }
          client.send(unreadInput).disconnect(reset);
          disconnected.countDown();
          upstreamHasResponded.await();
          loopMayContinue.countDown();
        }
        TestProxy.waitUntil(() -> server.openConnections() == 0);
        assertNextIsServed(server, upstream, 2);
      }
    }
  }

  static Stream<Arguments> waysToDisconnect() {
    return Stream.of(true, false)
        .flatMap(
            cancels ->
                Stream.of(true, false)
                    .flatMap(
                        reset ->
                            Stream.of(true, false)
                                .map(read -> Arguments.of(cancels, reset, read))));
  }

  /** Capacity becomes available after the disconnect was read, or while it is unread. */
  @ParameterizedTest(name = "cancel {0}, reset {1}, read {2}")
  @MethodSource("waysToDisconnect")
  void queuedRequestIsNotForwardedAfterADisconnect(
      boolean cancels, boolean reset, boolean disconnectIsRead) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(cancels, upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(
            200,
            client.exchange(request("1")).status(),
            "opens the connections that the next request uses");
        server.updateEndpoint(0, upstream, EndpointStatus.DRAINING).get();
        client.send(request("2"));
        TestProxy.waitUntil(() -> arrivedRequestIds.contains("2"));
        disconnect(
            client,
            reset,
            disconnectIsRead,
            () -> server.updateEndpoint(0, upstream, EndpointStatus.READY));
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextIsServed(server, upstream, 2);
      assertEquals(List.of(), List.copyOf(server.defects));
    }
  }

  /** One upstream is at its concurrency limit, and the other has rejected the request. */
  @ParameterizedTest(name = "cancel {0}, reset {1}, read {2}")
  @MethodSource("waysToDisconnect")
  void requestQueuedForItsRetryIsNotForwardedAfterADisconnect(
      boolean cancels, boolean reset, boolean disconnectIsRead) throws Exception {
    int concurrencyLimit = 8;
    CountDownLatch upstreamMayRespond = new CountDownLatch(1);
    CountDownLatch upstreamHasResponded = new CountDownLatch(concurrencyLimit);
    try (FakeHttpServer fullUpstream =
            new FakeHttpServer(
                (request, connection, out) -> {
                  upstreamMayRespond.await();
                  FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
                  upstreamHasResponded.countDown();
                });
        FakeHttpServer rejectingUpstream =
            new FakeHttpServer(
                (request, connection, out) -> FakeHttpServer.write(out, UNPROCESSED))) {
      TestDownstreamServer server = start(cancels, fullUpstream);
      List<TestClient> otherClients = new ArrayList<>();
      for (int i = 0; i < concurrencyLimit; i++) {
        otherClients.add(new TestClient(server.address).send(request("fill" + i)));
      }
      TestProxy.waitUntil(() -> fullUpstream.requests.size() == concurrencyLimit);
      server.updateEndpoint(1, rejectingUpstream, EndpointStatus.READY).get();
      try (TestClient client = new TestClient(server.address)) {
        client.send(request("retried"));
        TestProxy.waitUntil(
            () ->
                endEvents.stream()
                    .anyMatch(
                        event ->
                            event instanceof AttemptCompleted attempt
                                && attempt.status() == AttemptStatus.REJECTED));
        disconnect(
            client,
            reset,
            disconnectIsRead,
            () -> {
              upstreamMayRespond.countDown();
              TestProxy.awaitLatch(upstreamHasResponded);
            });
        for (TestClient otherClient : otherClients) {
          assertEquals(200, otherClient.readResponse().status());
          otherClient.close();
        }
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      server.updateEndpoint(1, rejectingUpstream, EndpointStatus.REMOVED).get();
      assertNextIsServed(server, fullUpstream, concurrencyLimit + 1);
      assertEquals(1, rejectingUpstream.requests.size());
      assertEquals(List.of(), List.copyOf(server.defects));
    }
  }

  /** Disconnects and frees capacity: after the disconnect was read, or while it is unread. */
  private void disconnect(
      TestClient client, boolean reset, boolean disconnectIsRead, Runnable freeCapacity)
      throws Exception {
    if (disconnectIsRead) {
      client.disconnect(reset);
      TestProxy.waitUntil(() -> endEvents.stream().anyMatch(ClientDisconnected.class::isInstance));
      freeCapacity.run();
    } else {
      CountDownLatch loopMayContinue = blockLoop();
      freeCapacity.run();
      client.disconnect(reset);
      loopMayContinue.countDown();
    }
  }

  /** The event loop finds the connection up and the disconnect unread, in this order. */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unreadInput")
  void requestWhoseConnectionComesUpAfterADisconnectIsNotForwarded(
      String name, String unreadInput, boolean reset) throws Exception {
    for (boolean cancels : new boolean[] {true, false}) {
      try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
        TestDownstreamServer server = start(cancels, upstream);
        CountDownLatch loopMayContinue = new CountDownLatch(1);
        // Blocks the loop after the task that connects, which the decision to forward adds.
        beforeRequest =
            () -> loop.execute(() -> loop.execute(() -> TestProxy.awaitLatch(loopMayContinue)));
        try (TestClient client = new TestClient(server.address)) {
          client.send(request("1"));
          TestProxy.waitUntil(() -> upstream.connections.size() == 1);
          client.send(unreadInput).disconnect(reset);
          beforeRequest = () -> {};
          loopMayContinue.countDown();
        }
        TestProxy.waitUntil(() -> server.openConnections() == 0);
        assertNextIsServed(server, upstream, 1);
      }
    }
  }

  /** A penalty pauses reading: a request that is read after it may have a disconnect behind it. */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unreadInput")
  void requestReadAfterAPenaltyIsNotForwardedAfterADisconnect(
      String name, String unreadInput, boolean reset) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(
            200,
            client.exchange(request("1")).status(),
            "opens the connections that the next request uses");
        assertEquals(400, client.exchange(request("2").replace("acme", "nobody")).status());
        CountDownLatch loopMayContinue = blockLoop();
        client.send(request("3")).send(unreadInput).disconnect(reset);
        loopMayContinue.countDown();
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextIsServed(server, upstream, 2);
    }
  }
}
