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
 * Tests that no attempt is started for a request whose client has disconnected, even if the event
 * loop has not read the disconnect yet. Covers new requests, queued requests, retries, and requests
 * that wait for an upstream connection to be established.
 */
class DisconnectBeforeForwardingTest extends ClientDisconnectFixture {

  private static final String UNPROCESSED =
      "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

  /** Input that precedes the disconnect; the blocked event loop has read neither of them. */
  static Stream<Arguments> inputBeforeTheDisconnect() {
    return Stream.of(true, false)
        .flatMap(
            reset ->
                Stream.of(
                    Arguments.of("nothing", "", reset),
                    Arguments.of("one byte", "x", reset),
                    Arguments.of("invalid data", "nonsense\r\n\r\n", reset),
                    Arguments.of("another request", request("more"), reset),
                    Arguments.of(
                        "more than one turn of the event loop reads", "x".repeat(9_000), reset),
                    Arguments.of("40 kB", "x".repeat(40_000), reset)));
  }

  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("inputBeforeTheDisconnect")
  void requestFollowedByAnUnreadDisconnectIsNotForwarded(
      String name, String inputBeforeTheDisconnect, boolean reset) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(
            200,
            client.exchange(request("1")).status(),
            "opens the connections that the next request uses");
        CountDownLatch releaseLoop = blockLoop();
        client.send(request("2")).send(inputBeforeTheDisconnect).disconnect(reset);
        releaseLoop.countDown();
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextClientIsServed(server, upstream, 2);
    }
  }

  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("inputBeforeTheDisconnect")
  void requestFollowedByAnUnreadDisconnectIsNotRetried(
      String name, String inputBeforeTheDisconnect, boolean reset) throws Exception {
    for (boolean disconnectsFirst : new boolean[] {true, false}) {
      CountDownLatch disconnected = new CountDownLatch(disconnectsFirst ? 1 : 0);
      CountDownLatch releaseUpstream = new CountDownLatch(1);
      CountDownLatch upstreamHasResponded = new CountDownLatch(1);
      try (FakeHttpServer upstream =
          new FakeHttpServer(
              (request, connection, out) -> {
                releaseUpstream.await();
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
          CountDownLatch releaseLoop = blockLoop();
          releaseUpstream.countDown();
          if (!disconnectsFirst) {
            // The loop reads sockets in the order in which they became readable. The response comes
            // first, so that the retry is decided before the disconnect is read.
            upstreamHasResponded.await();
          }
          client.send(inputBeforeTheDisconnect).disconnect(reset);
          disconnected.countDown();
          upstreamHasResponded.await();
          releaseLoop.countDown();
        }
        TestProxy.waitUntil(() -> server.openConnections() == 0);
        assertNextClientIsServed(server, upstream, 2);
      }
    }
  }

  static Stream<Arguments> disconnectCases() {
    return Stream.of(true, false)
        .flatMap(
            cancels ->
                Stream.of(true, false)
                    .flatMap(
                        reset ->
                            Stream.of(true, false)
                                .map(read -> Arguments.of(cancels, reset, read))));
  }

  /**
   * The request is queued while its only endpoint drains. The endpoint becomes ready again after
   * the disconnect was read, or while it is unread.
   */
  @ParameterizedTest(name = "cancel {0}, reset {1}, read {2}")
  @MethodSource("disconnectCases")
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
        TestProxy.waitUntil(() -> receivedRequestIds.contains("2"));
        disconnect(
            client,
            reset,
            disconnectIsRead,
            () -> server.updateEndpoint(0, upstream, EndpointStatus.READY));
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextClientIsServed(server, upstream, 2);
      assertEquals(List.of(), List.copyOf(server.defects));
    }
  }

  /**
   * The retry is queued because one upstream has rejected the request and the other is at its
   * concurrency limit. Capacity becomes available after the disconnect was read, or while it is
   * unread.
   */
  @ParameterizedTest(name = "cancel {0}, reset {1}, read {2}")
  @MethodSource("disconnectCases")
  void queuedRetryIsNotForwardedAfterADisconnect(
      boolean cancels, boolean reset, boolean disconnectIsRead) throws Exception {
    int concurrencyLimit = 8;
    CountDownLatch releaseUpstream = new CountDownLatch(1);
    CountDownLatch upstreamHasResponded = new CountDownLatch(concurrencyLimit);
    try (FakeHttpServer fullUpstream =
            new FakeHttpServer(
                (request, connection, out) -> {
                  releaseUpstream.await();
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
                disconnectAndAttemptEvents.stream()
                    .anyMatch(
                        event ->
                            event instanceof AttemptCompleted attempt
                                && attempt.status() == AttemptStatus.REJECTED));
        disconnect(
            client,
            reset,
            disconnectIsRead,
            () -> {
              releaseUpstream.countDown();
              TestProxy.awaitLatch(upstreamHasResponded);
            });
        for (TestClient otherClient : otherClients) {
          assertEquals(200, otherClient.readResponse().status());
          otherClient.close();
        }
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      server.updateEndpoint(1, rejectingUpstream, EndpointStatus.REMOVED).get();
      assertNextClientIsServed(server, fullUpstream, concurrencyLimit + 1);
      assertEquals(1, rejectingUpstream.requests.size());
      assertEquals(List.of(), List.copyOf(server.defects));
    }
  }

  /**
   * Disconnects the client and frees capacity, after the event loop has read the disconnect or
   * while the disconnect is unread.
   */
  private void disconnect(
      TestClient client, boolean reset, boolean disconnectIsRead, Runnable freeCapacity)
      throws Exception {
    if (disconnectIsRead) {
      client.disconnect(reset);
      TestProxy.waitUntil(
          () -> disconnectAndAttemptEvents.stream().anyMatch(ClientDisconnected.class::isInstance));
      freeCapacity.run();
    } else {
      CountDownLatch releaseLoop = blockLoop();
      freeCapacity.run();
      client.disconnect(reset);
      releaseLoop.countDown();
    }
  }

  /**
   * The event loop is blocked from the start of the connect to the upstream until the client has
   * disconnected. It then finds the connection established, with the disconnect still unread.
   */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("inputBeforeTheDisconnect")
  void requestIsNotForwardedIfTheUpstreamConnectCompletesAfterADisconnect(
      String name, String inputBeforeTheDisconnect, boolean reset) throws Exception {
    for (boolean cancels : new boolean[] {true, false}) {
      try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
        TestDownstreamServer server = start(cancels, upstream);
        CountDownLatch releaseLoop = new CountDownLatch(1);
        // Blocks the loop after the connect. The connect runs as a task that is added after this
        // runnable; the nested execute puts the blocking task behind it.
        beforeRequest =
            () -> loop.execute(() -> loop.execute(() -> TestProxy.awaitLatch(releaseLoop)));
        try (TestClient client = new TestClient(server.address)) {
          client.send(request("1"));
          TestProxy.waitUntil(() -> upstream.connections.size() == 1);
          client.send(inputBeforeTheDisconnect).disconnect(reset);
          beforeRequest = () -> {};
          releaseLoop.countDown();
        }
        TestProxy.waitUntil(() -> server.openConnections() == 0);
        assertNextClientIsServed(server, upstream, 1);
      }
    }
  }

  /**
   * The penalty for an invalid request pauses reading, so the next request may be read only when
   * its client has already disconnected.
   */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("inputBeforeTheDisconnect")
  void requestReadAfterAPenaltyIsNotForwardedIfItsClientHasDisconnected(
      String name, String inputBeforeTheDisconnect, boolean reset) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer server = start(upstream);
      try (TestClient client = new TestClient(server.address)) {
        assertEquals(
            200,
            client.exchange(request("1")).status(),
            "opens the connections that the next request uses");
        assertEquals(400, client.exchange(request("2").replace("acme", "nobody")).status());
        CountDownLatch releaseLoop = blockLoop();
        client.send(request("3")).send(inputBeforeTheDisconnect).disconnect(reset);
        releaseLoop.countDown();
      }
      TestProxy.waitUntil(() -> server.openConnections() == 0);
      assertNextClientIsServed(server, upstream, 2);
    }
  }
}
