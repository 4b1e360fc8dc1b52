package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.TestProxy;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.RequestMessage;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.transport.PeekableSocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Limits of the pool, and what a send comes to that is over before its first byte. */
class UpstreamConnectionPoolsTest {

  private static final long LONG = 60_000_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<AttemptStatus> outcomes = new LinkedBlockingQueue<>();

  private void send(
      EndpointConnectionPool pool, String id, boolean maySend, UpstreamAttempt.Ending ending) {
    RequestClass type =
        new RequestClass(
            "look",
            RequestEffect.IDEMPOTENT,
            DeduplicationScope.ALL,
            LONG,
            LONG,
            0,
            LONG,
            1,
            0,
            false);
    ClientRequest request =
        new ClientRequest(
            id,
            type,
            "acme",
            "k",
            LONG,
            0,
            false,
            new RequestMessage(HttpMethod.GET, "/look", "h", null, null, new byte[0]));
    new UpstreamAttempt(0, 1, 0, pool, ending)
        .start(request, LONG, () -> maySend, new EpochClock(), loop);
  }

  private void attempt(EndpointConnectionPool pool, boolean maySend) {
    loop.execute(() -> send(pool, "1", maySend, (attempt, status, answer) -> outcomes.add(status)));
  }

  private AttemptStatus outcome() throws InterruptedException {
    return outcomes.poll(30, TimeUnit.SECONDS);
  }

  private UpstreamConnectionPools pool(long idleNanos, int most) throws Exception {
    return loop.submit(
            () -> new UpstreamConnectionPools(loop, new ConnectionLimits(LONG, idleNanos, most)))
        .get();
  }

  @Test
  void secondCopyRightBehindAnAnswerIsNotTheNextSendsAnswer() throws Exception {
    // The next send starts from within the first one's outcome, as a module does that had a request
    // waiting.
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              String answer =
                  FakeHttpServer.okResponse(
                      request.contains("X-Correlation-Id: 1\n") ? "mine" : "next");
              FakeHttpServer.write(out, answer + answer);
            })) {
      EndpointConnectionPool pool = of(pool(LONG, 10), upstream.address());
      BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
      loop.execute(
          () ->
              send(
                  pool,
                  "1",
                  true,
                  (first, status, answer) -> {
                    bodies.add(new String(answer.body()));
                    send(
                        pool,
                        "2",
                        true,
                        (second, status2, answer2) -> bodies.add(new String(answer2.body())));
                  }));
      assertEquals("mine", bodies.poll(30, TimeUnit.SECONDS));
      assertEquals("next", bodies.poll(30, TimeUnit.SECONDS));
    }
  }

  private EndpointConnectionPool of(UpstreamConnectionPools pool, InetSocketAddress address)
      throws Exception {
    return loop.submit(() -> pool.createPool(address)).get();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void sendThatIsOverWhenTheConnectionIsUpWritesNothingAndLeavesItForTheNext() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      EndpointConnectionPool pool = of(pool(LONG, 10), upstream.address());
      attempt(pool, false);
      assertEquals(AttemptStatus.NOT_SENT, outcome());
      attempt(pool, true);
      assertEquals(AttemptStatus.SERVED, outcome());
      assertEquals(1, upstream.requests.size());
      assertEquals(1, upstream.connections.size());
    }
  }

  @Test
  void idleConnectionIsClosedBeforeTheUpstreamWould() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      attempt(of(pool(100_000_000L, 10), upstream.address()), true);
      assertEquals(AttemptStatus.SERVED, outcome());
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  @Test
  void keptConnectionThatWasBrokenTakesThoseWithItThatWereKeptForLonger() throws Exception {
    AtomicInteger waiting = new AtomicInteger();
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (request.contains("X-Correlation-Id: break\n")) {
                connection.setSoLinger(true, 0);
                connection.close();
                return;
              }
              waiting.incrementAndGet();
              TestProxy.waitUntil(() -> waiting.get() == 3);
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      EndpointConnectionPool pool = of(pool(LONG, 10), upstream.address());
      for (int i = 0; i < 3; i++) {
        attempt(pool, true);
      }
      for (int i = 0; i < 3; i++) {
        assertEquals(AttemptStatus.SERVED, outcome());
      }
      loop.execute(
          () -> send(pool, "break", true, (attempt, status, answer) -> outcomes.add(status)));
      assertEquals(AttemptStatus.RESET, outcome());
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 3);
    }
  }

  @Test
  void atTheLimitAnIdleConnectionGivesWayAndABusyOneDoesNot() throws Exception {
    try (FakeHttpServer first = FakeHttpServer.respondingWith("fine");
        FakeHttpServer second = new FakeHttpServer((r, c, out) -> {})) {
      UpstreamConnectionPools pool = pool(LONG, 1);
      EndpointConnectionPool toFirst = of(pool, first.address());
      attempt(toFirst, true);
      assertEquals(AttemptStatus.SERVED, outcome());
      attempt(of(pool, second.address()), true);
      TestProxy.waitUntil(
          () -> first.connectionsClosedByPeer.get() == 1 && second.requests.size() == 1);
      attempt(toFirst, true);
      assertEquals(AttemptStatus.CONNECT_FAILED, outcome());
      assertEquals(1, first.requests.size());
    }
  }

  /**
   * Guards the one event loop: Netty tells of a socket that it could not make on a thread of its
   * own.
   */
  @Test
  void attemptWithoutADescriptorForItsSocketFailsAtOnceAndTakesNoRoom() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      AtomicInteger left = new AtomicInteger(2);
      EndpointConnectionPool pool =
          of(
              loop.submit(
                      () ->
                          new UpstreamConnectionPools(
                              loop,
                              new ConnectionLimits(LONG, LONG, 1),
                              () -> {
                                if (left.getAndDecrement() > 0) {
                                  throw new ChannelException("too many open files");
                                }
                                return new PeekableSocketChannel();
                              }))
                  .get(),
              upstream.address());
      BlockingQueue<Boolean> onLoop = new LinkedBlockingQueue<>();
      for (int i = 0; i < 2; i++) {
        loop.execute(
            () ->
                send(
                    pool,
                    "1",
                    true,
                    (attempt, status, answer) -> {
                      outcomes.add(status);
                      onLoop.add(loop.inEventLoop());
                    }));
        assertEquals(AttemptStatus.CONNECT_FAILED, outcome());
        assertEquals(true, onLoop.poll(30, TimeUnit.SECONDS), "an outcome is the loop's");
      }
      attempt(pool, true);
      assertEquals(AttemptStatus.SERVED, outcome());
    }
  }
}
