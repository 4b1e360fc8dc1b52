package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that leave while their request waits: it is given up at once, and nothing is sent on for
 * nobody.
 */
class ClientDisconnectTest {

  /**
   * The longest that the class allows: a request that ends by its time ends far behind all that is
   * waited for.
   */
  private static final long LEFT_MILLIS = 20_000;

  private static final String UNPROCESSED =
      "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  /** What ended requests, in order: their clients' leaving and the outcomes of attempts. */
  private final BlockingQueue<Event> ends = new LinkedBlockingQueue<>();

  /** The ids of the requests that the module was told of. */
  private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();

  /** What is done on the loop ahead of a request's decision. */
  private volatile Runnable onRequest = () -> {};

  private TestDownstreamServer start(FakeHttpServer... upstreams) throws Exception {
    return start(true, upstreams);
  }

  /**
   * Requests wait in the module for as long as their clients do: one that was refused would prove
   * nothing.
   */
  private TestDownstreamServer start(boolean cancels, FakeHttpServer... upstreams)
      throws Exception {
    return new TestDownstreamServer(
        loop,
        event -> {
          if (event instanceof ClientDisconnected || event instanceof AttemptCompleted) {
            ends.add(event);
          } else if (event instanceof RequestArrived r) {
            onRequest.run();
            taken.add(r.requestId());
          }
        },
        configuration ->
            configuration
                .replace("\"cancel\":true", "\"cancel\":" + cancels)
                .replace("\"aim-ns\":2000000000", "\"aim-ns\":200000000000"),
        upstreams);
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  static Stream<Arguments> behind() {
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
                    Arguments.of(
                        "another request in one piece with it",
                        TestClient.idempotentRequest("2", LEFT_MILLIS, ""),
                        "",
                        reset),
                    Arguments.of("part of another request", "", "GET /look", reset),
                    Arguments.of("much", "", "x".repeat(60_000), reset)));
  }

  @ParameterizedTest(name = "{0}, reset {3}")
  @MethodSource("behind")
  void leavingIsSeenWhateverComesBehindTheRequest(
      String name, String at, String later, boolean reset) throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer side = start(upstream);
      try (TestClient client = new TestClient(side.address)) {
        client.send(TestClient.idempotentRequest("1", LEFT_MILLIS, "") + at);
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.send(later).disconnect(reset);
      }
      assertInstanceOf(
          ClientDisconnected.class, ends.poll(30, TimeUnit.SECONDS), "its time was not up");
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  /** The penalty for a mistake stops the reading, but not while a request waits. */
  @Test
  void leavingIsSeenBehindAMistake() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer side = start(upstream);
      try (TestClient client = new TestClient(side.address)) {
        client.send(
            TestClient.idempotentRequest("0", LEFT_MILLIS, "").replace("acme", "nobody")
                + TestClient.idempotentRequest("1", LEFT_MILLIS, "")
                + TestClient.idempotentRequest("2", LEFT_MILLIS, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        client.disconnect(false);
      }
      assertInstanceOf(
          ClientDisconnected.class, ends.poll(30, TimeUnit.SECONDS), "its time was not up");
    }
  }

  @Test
  void floodBehindARequestIsAnsweredAtOnceAndItsAttemptGivenUp() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      TestDownstreamServer side = start(upstream);
      try (TestClient client = new TestClient(side.address)) {
        client.send(TestClient.idempotentRequest("1", LEFT_MILLIS, ""));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        // Just over what is dropped: more would meet the closed connection while it is written.
        client.send("x".repeat((64 << 10) + 1));
        assertEquals(400, client.readResponse().status());
      }
      assertInstanceOf(
          ClientDisconnected.class, ends.poll(30, TimeUnit.SECONDS), "its time was not up");
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  /** What a client sends ahead of its end, by which a loop that is behind finds both unread. */
  static Stream<Arguments> unread() {
    return Stream.of(true, false)
        .flatMap(
            reset ->
                Stream.of(
                    Arguments.of("nothing", "", reset),
                    Arguments.of("a byte", "x", reset),
                    Arguments.of("noise", "nonsense\r\n\r\n", reset),
                    Arguments.of(
                        "another request",
                        TestClient.idempotentRequest("more", LEFT_MILLIS, ""),
                        reset),
                    Arguments.of("more than is read in a round", "x".repeat(9_000), reset),
                    Arguments.of("much", "x".repeat(40_000), reset)));
  }

  /** A loop that is behind finds the request and its client's end in the socket together. */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unread")
  void requestThatIsReadOnceItsClientHasLeftIsNotSent(String name, String more, boolean reset)
      throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = start(upstream);
      try (TestClient client = new TestClient(side.address)) {
        assertEquals(
            200,
            client.exchange(TestClient.idempotentRequest("1", LEFT_MILLIS, "")).status(),
            "a connection is there now");
        CountDownLatch behind = new CountDownLatch(1);
        TestProxy.block(loop, behind);
        client
            .send(TestClient.idempotentRequest("2", LEFT_MILLIS, ""))
            .send(more)
            .disconnect(reset);
        behind.countDown();
      }
      TestProxy.waitUntil(() -> side.openConnections() == 0);
      assertNextIsServed(side, upstream, 2);
    }
  }

  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unread")
  void requestWhoseClientHasLeftUnseenIsNotTriedAgain(String name, String more, boolean reset)
      throws Exception {
    for (boolean leavesFirst : new boolean[] {true, false}) {
      CountDownLatch left = new CountDownLatch(leavesFirst ? 1 : 0);
      CountDownLatch mayAnswer = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      try (FakeHttpServer upstream =
          new FakeHttpServer(
              (request, connection, out) -> {
                mayAnswer.await();
                left.await();
                FakeHttpServer.write(
                    out,
                    request.contains("X-Correlation-Id: 1\n")
                        ? UNPROCESSED
                        : FakeHttpServer.okResponse("fine"));
                answered.countDown();
              })) {
        TestDownstreamServer side = start(upstream);
        try (TestClient client = new TestClient(side.address)) {
          client.send(TestClient.idempotentRequest("1", LEFT_MILLIS, ""));
          TestProxy.waitUntil(() -> upstream.requests.size() == 1);
          CountDownLatch behind = new CountDownLatch(1);
          TestProxy.block(loop, behind);
          mayAnswer.countDown();
          if (!leavesFirst) {
            // The loop reads first what was there first: the outcome, and tries again ahead of the
            // client's end.
            answered.await();
          }
          client.send(more).disconnect(reset);
          left.countDown();
          answered.await();
          behind.countDown();
        }
        TestProxy.waitUntil(() -> side.openConnections() == 0);
        assertNextIsServed(side, upstream, 2);
      }
    }
  }

  static Stream<Arguments> ways() {
    return Stream.of(true, false)
        .flatMap(
            cancels ->
                Stream.of(true, false)
                    .flatMap(
                        reset ->
                            Stream.of(true, false)
                                .map(seen -> Arguments.of(cancels, reset, seen))));
  }

  /**
   * Whether room comes after the client's end was read, or is there for a loop that is behind ahead
   * of it.
   */
  @ParameterizedTest(name = "cancel {0}, reset {1}, seen {2}")
  @MethodSource("ways")
  void requestThatIsQueuedIsNotSentOnceItsClientHasLeft(
      boolean cancels, boolean reset, boolean seen) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = start(cancels, upstream);
      try (TestClient client = new TestClient(side.address)) {
        assertEquals(
            200,
            client.exchange(TestClient.idempotentRequest("1", LEFT_MILLIS, "")).status(),
            "a connection is there now");
        side.updateEndpoint(0, upstream, EndpointStatus.DRAINING).get();
        client.send(TestClient.idempotentRequest("2", LEFT_MILLIS, ""));
        TestProxy.waitUntil(() -> taken.contains("2"));
        leave(client, reset, seen, () -> side.updateEndpoint(0, upstream, EndpointStatus.READY));
      }
      TestProxy.waitUntil(() -> side.openConnections() == 0);
      assertNextIsServed(side, upstream, 2);
      assertEquals(List.of(), List.copyOf(side.defects));
    }
  }

  /** One upstream is full, and the other has turned the request away. */
  @ParameterizedTest(name = "cancel {0}, reset {1}, seen {2}")
  @MethodSource("ways")
  void requestThatIsQueuedForItsRetryIsNotSentOnceItsClientHasLeft(
      boolean cancels, boolean reset, boolean seen) throws Exception {
    int fill = 8;
    CountDownLatch room = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(fill);
    try (FakeHttpServer full =
            new FakeHttpServer(
                (request, connection, out) -> {
                  room.await();
                  FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
                  answered.countDown();
                });
        FakeHttpServer refuses =
            new FakeHttpServer(
                (request, connection, out) -> FakeHttpServer.write(out, UNPROCESSED))) {
      TestDownstreamServer side = start(cancels, full);
      List<TestClient> others = new ArrayList<>();
      for (int i = 0; i < fill; i++) {
        others.add(
            new TestClient(side.address)
                .send(TestClient.idempotentRequest("fill" + i, LEFT_MILLIS, "")));
      }
      TestProxy.waitUntil(() -> full.requests.size() == fill);
      side.updateEndpoint(1, refuses, EndpointStatus.READY).get();
      try (TestClient client = new TestClient(side.address)) {
        client.send(TestClient.idempotentRequest("retried", LEFT_MILLIS, ""));
        TestProxy.waitUntil(
            () ->
                ends.stream()
                    .anyMatch(
                        e ->
                            e instanceof AttemptCompleted o
                                && o.status() == AttemptStatus.REJECTED));
        leave(
            client,
            reset,
            seen,
            () -> {
              room.countDown();
              TestProxy.awaitUninterruptibly(answered);
            });
        for (TestClient other : others) {
          assertEquals(200, other.readResponse().status());
          other.close();
        }
      }
      TestProxy.waitUntil(() -> side.openConnections() == 0);
      side.updateEndpoint(1, refuses, EndpointStatus.REMOVED).get();
      assertNextIsServed(side, full, fill + 1);
      assertEquals(1, refuses.requests.size());
      assertEquals(List.of(), List.copyOf(side.defects));
    }
  }

  /** The client leaves, and room comes: behind its end as read, or unread but ahead of it. */
  private void leave(TestClient client, boolean reset, boolean seen, Runnable room)
      throws Exception {
    CountDownLatch behind = new CountDownLatch(1);
    if (seen) {
      client.disconnect(reset);
      TestProxy.waitUntil(() -> ends.stream().anyMatch(ClientDisconnected.class::isInstance));
      room.run();
    } else {
      TestProxy.block(loop, behind);
      room.run();
      client.disconnect(reset);
      behind.countDown();
    }
  }

  /** The loop finds the connection up and the client's end together, the connection first. */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unread")
  void requestWhoseConnectionComesUpOnceItsClientHasLeftIsNotSent(
      String name, String more, boolean reset) throws Exception {
    for (boolean cancels : new boolean[] {true, false}) {
      try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
        TestDownstreamServer side = start(cancels, upstream);
        CountDownLatch behind = new CountDownLatch(1);
        // Behind the task that connects, which the decision adds.
        onRequest =
            () -> loop.execute(() -> loop.execute(() -> TestProxy.awaitUninterruptibly(behind)));
        try (TestClient client = new TestClient(side.address)) {
          client.send(TestClient.idempotentRequest("1", LEFT_MILLIS, ""));
          TestProxy.waitUntil(() -> upstream.connections.size() == 1);
          client.send(more).disconnect(reset);
          onRequest = () -> {};
          behind.countDown();
        }
        TestProxy.waitUntil(() -> side.openConnections() == 0);
        assertNextIsServed(side, upstream, 1);
      }
    }
  }

  /**
   * A mistake stops the reading for a while: what is read after that may have its client's end
   * behind it.
   */
  @ParameterizedTest(name = "{0}, reset {2}")
  @MethodSource("unread")
  void requestBehindAMistakeIsNotSentOnceItsClientHasLeft(String name, String more, boolean reset)
      throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      TestDownstreamServer side = start(upstream);
      try (TestClient client = new TestClient(side.address)) {
        assertEquals(
            200,
            client.exchange(TestClient.idempotentRequest("1", LEFT_MILLIS, "")).status(),
            "a connection is there now");
        assertEquals(
            400,
            client
                .exchange(
                    TestClient.idempotentRequest("2", LEFT_MILLIS, "").replace("acme", "nobody"))
                .status());
        CountDownLatch behind = new CountDownLatch(1);
        TestProxy.block(loop, behind);
        client
            .send(TestClient.idempotentRequest("3", LEFT_MILLIS, ""))
            .send(more)
            .disconnect(reset);
        behind.countDown();
      }
      TestProxy.waitUntil(() -> side.openConnections() == 0);
      assertNextIsServed(side, upstream, 2);
    }
  }

  /**
   * One that ends its half of the connection has left too, though it asked for no more than this
   * answer.
   */
  @Test
  void clientThatEndsItsHalfHasLeft() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (!request.contains("X-Correlation-Id: 1\n")) {
                FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              }
            })) {
      TestDownstreamServer side = start(upstream);
      try (TestClient seen = new TestClient(side.address);
          TestClient unseen = new TestClient(side.address)) {
        seen.send(TestClient.idempotentRequest("1", LEFT_MILLIS, "Connection: close\r\n"));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        seen.shutdownOutput();
        assertInstanceOf(
            ClientDisconnected.class, ends.poll(30, TimeUnit.SECONDS), "its time was not up");
        assertTrue(seen.isClosedByServer());
        assertEquals(
            200,
            unseen.exchange(TestClient.idempotentRequest("2", LEFT_MILLIS, "")).status(),
            "a connection is there now");
        CountDownLatch behind = new CountDownLatch(1);
        TestProxy.block(loop, behind);
        unseen
            .send(TestClient.idempotentRequest("3", LEFT_MILLIS, "Connection: close\r\n"))
            .shutdownOutput();
        behind.countDown();
        assertTrue(unseen.isClosedByServer());
      }
      TestProxy.waitUntil(() -> side.openConnections() == 0);
      assertNextIsServed(side, upstream, 3);
    }
  }

  /**
   * Its end may be read only once another connection asks under the same id, and that one has not
   * left.
   */
  @ParameterizedTest(name = "reset {0}")
  @ValueSource(booleans = {false, true})
  void clientThatAsksAgainOnAnotherConnectionIsAnswered(boolean reset) throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (request.contains("X-Correlation-Id: again\n")) {
                left.await();
              }
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      TestDownstreamServer side = start(upstream);
      try (TestClient first = new TestClient(side.address);
          TestClient second = new TestClient(side.address)) {
        assertEquals(
            200, first.exchange(TestClient.idempotentRequest("1", LEFT_MILLIS, "")).status());
        assertEquals(
            200, second.exchange(TestClient.idempotentRequest("2", LEFT_MILLIS, "")).status());
        CountDownLatch behind = new CountDownLatch(1);
        TestProxy.block(loop, behind);
        first.send(TestClient.idempotentRequest("again", LEFT_MILLIS, "")).disconnect(reset);
        second.send(TestClient.idempotentRequest("again", LEFT_MILLIS, ""));
        behind.countDown();
        TestProxy.waitUntil(() -> side.openConnections() == 1);
        left.countDown();
        assertEquals(200, second.readResponse().status());
      }
      assertEquals(3, upstream.requests.size());
    }
  }

  private void assertNextIsServed(TestDownstreamServer side, FakeHttpServer upstream, int requests)
      throws Exception {
    try (TestClient next = new TestClient(side.address)) {
      assertEquals(
          200, next.exchange(TestClient.idempotentRequest("next", LEFT_MILLIS, "")).status());
    }
    assertEquals(
        requests, upstream.requests.size(), String.join("\n", List.copyOf(upstream.requests)));
  }
}
