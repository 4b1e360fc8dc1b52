package loadbalancer.proxy.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.CancelAttempt;
import loadbalancer.policy.action.FetchEndpoints;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.RejectRequest;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.AttemptStatus;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.TestProxy;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.http.RequestMessage;
import loadbalancer.proxy.http.UpstreamResponse;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The request table under modules that do what the real one never should. */
class RequestCoordinatorTest {

  private static final long UPSTREAM = EndpointList.idOf("s-0");

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<RuntimeException> defects = new LinkedBlockingQueue<>();
  private volatile boolean nested;
  private volatile boolean handling;
  private volatile boolean here = true;
  private long drainGrace = 2_000_000_000L;
  private RequestCoordinator core;
  private PolicySettings settings;

  /** What a test's module does on a request or an outcome. */
  interface Module {
    void handle(Event event, Consumer<Action> out);
  }

  private final DownstreamClient client =
      new DownstreamClient() {
        @Override
        public boolean isConnected() {
          return here;
        }

        @Override
        public void sendResponse(UpstreamResponse answer) {
          answers.add("served");
        }

        @Override
        public void sendRejection(long retryAfterNanos) {
          answers.add("refused");
        }

        @Override
        public void sendFailure() {
          answers.add("failed");
        }
      };

  private void start(Module module, FakeHttpServer... upstreams) throws Exception {
    JsonObjectReader f =
        JsonObjectReader.parse(
            "configuration",
            TestProxy.configurationJson(TestProxy.unreachableAddress(), 3, upstreams)
                .replace("\"drain-grace-ns\":2000000000", "\"drain-grace-ns\":" + drainGrace));
    settings = PolicySettingsReader.read(f.nested("settings"));
    UpstreamConnectionPools pool =
        new UpstreamConnectionPools(
            loop, new ConnectionLimits(5_000_000_000L, 60_000_000_000L, 100));
    core =
        new RequestCoordinator(
            settings,
            (now, event, out) -> {
              nested |= handling;
              handling = true;
              events.add(event);
              module.handle(event, out);
              handling = false;
            },
            new CoordinatorEnvironment(loop, new EpochClock(), new EventLoopLag(loop), pool),
            defect -> {
              core.completeAllRequests();
              defects.add(defect);
            });
    EndpointList known = EndpointList.of(f.nested("known"));
    loop.submit(() -> core.start(known, on -> {})).get();
  }

  private void take(String id, String type, long leftMillis) throws Exception {
    take(id, type, leftMillis, () -> {});
  }

  /** Takes a request and does something else on the loop before anything more is read. */
  private void take(String id, String type, long leftMillis, Runnable then) throws Exception {
    take(id, type, leftMillis, 0, then);
  }

  private void take(String id, String type, long leftMillis, int bodyBytes, Runnable then)
      throws Exception {
    var type1 =
        settings.requestClasses().stream()
            .filter(c -> c.name().equals(type))
            .findFirst()
            .orElseThrow();
    ClientRequest request =
        new ClientRequest(
            id,
            type1,
            "acme",
            "k",
            leftMillis * 1_000_000,
            0,
            false,
            new RequestMessage(HttpMethod.GET, "/" + type, "h", null, null, new byte[bodyBytes]));
    assertTrue(
        loop.submit(
                () -> {
                  boolean taken = core.accept(request, client);
                  then.run();
                  return taken;
                })
            .get());
  }

  private String answer() throws InterruptedException {
    return answers.poll(30, TimeUnit.SECONDS);
  }

  private AttemptCompleted outcome() throws InterruptedException {
    for (Event e = events.poll(30, TimeUnit.SECONDS);
        e != null;
        e = events.poll(30, TimeUnit.SECONDS)) {
      if (e instanceof AttemptCompleted o) {
        return o;
      }
    }
    throw new AssertionError("no outcome came");
  }

  private static void sendOnRequest(Event event, Consumer<Action> out) {
    if (event instanceof RequestArrived r) {
      out.accept(new ForwardAttempt(r.requestId(), UPSTREAM, 15_000_000_000L));
    }
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void moduleThatGivesNoAnswerIsAnsweredFor() throws Exception {
    start((event, out) -> {});
    take("1", "order", 200);
    assertEquals("refused", answer(), "nothing ran");
    take("1", "order", 200);
  }

  /** Guards clients in a hurry: they wait for less than the margin that others have to spare. */
  @Test
  void marginBeforeTheClientsTimeIsUpLeavesMostOfAShortWait() {
    assertEquals(60_000_000L, ResponseDeadlines.marginNanos(1_000_000_000L));
    for (long left = 10_000_000L; left <= 120_000_000L; left += 10_000_000L) {
      assertTrue(ResponseDeadlines.marginNanos(left) <= left / 4, "of " + left + " ns");
    }
  }

  @Test
  void answerForTheModulePromisesNothingOnceTheRequestMayHaveRun() throws Exception {
    try (FakeHttpServer upstream = new FakeHttpServer((request, connection, out) -> {})) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "order", 1_000);
      assertEquals("failed", answer());
    }
  }

  @Test
  void lateOutcomeStillGoesToTheModuleAndTheClientHearsNothingMore() throws Exception {
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              TestProxy.waitUntil(() -> !answers.isEmpty());
              FakeHttpServer.write(out, FakeHttpServer.okResponse("late"));
            })) {
      start(
          (event, out) -> {
            sendOnRequest(event, out);
            if (event instanceof RequestArrived r) {
              out.accept(
                  new SetTimer(
                      r.requestId(), System.currentTimeMillis() * 1_000_000 + 200_000_000));
            } else if (event instanceof TimerFired t) {
              out.accept(new RejectRequest(t.timerId(), 0));
            }
          },
          upstream);
      take("1", "look", 15_000);
      AttemptCompleted late = outcome();
      assertEquals(AttemptStatus.SERVED, late.status());
      assertTrue(late.requestFinished());
      assertEquals("refused", answer());
      assertTrue(answers.isEmpty());
      take("1", "look", 15_000);
    }
  }

  @Test
  void pauseOfTheLoopIsNotTheUpstreamsLatency() throws Exception {
    long pause = 2_000_000_000L;
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "look", 15_000);
      outcome();
      take(
          "2",
          "look",
          15_000,
          () -> {
            for (long end = System.nanoTime() + pause; System.nanoTime() < end; ) {
              LockSupport.parkNanos(end - System.nanoTime());
            }
          });
      long latency = outcome().latencyNanos();
      assertTrue(
          latency < pause * 3 / 4, "answered at once, read " + pause + " ns later: " + latency);
    }
  }

  @Test
  void plannedStopAnswersWhatIsOpenBeforeItsEnd() throws Exception {
    start((event, out) -> {});
    take("1", "look", 600_000);
    loop.submit(() -> core.capDeadlines(100_000_000L)).get();
    assertEquals("refused", answer());
  }

  @Test
  void resetOfAKeptConnectionTellsOfTheConnectionAndOfANewOneOfTheUpstream() throws Exception {
    AtomicBoolean broken = new AtomicBoolean();
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (broken.get()) {
                connection.setSoLinger(true, 0);
                connection.close();
              } else {
                FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              }
            })) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "look", 15_000);
      assertFalse(outcome().foundStaleConnection());
      broken.set(true);
      take("2", "look", 15_000);
      assertTrue(outcome().foundStaleConnection(), "kept");
      take("3", "look", 15_000);
      AttemptCompleted onNew = outcome();
      assertEquals(AttemptStatus.RESET, onNew.status());
      assertFalse(onNew.foundStaleConnection(), "new");
    }
  }

  @Test
  void clientThatHasLeftUnseenEndsItsRequestWhereItWouldBeSent() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      here = false;
      take("1", "look", 15_000);
      AttemptCompleted outcome = outcome();
      assertEquals(AttemptStatus.NOT_SENT, outcome.status());
      assertTrue(outcome.requestFinished());
      here = true;
      take("1", "look", 15_000);
      assertEquals("served", answer());
      assertEquals(1, upstream.requests.size());
    }
  }

  /** Whether or not the settings let the module cancel: what has not gone out need not. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void clientThatLeavesBeforeTheConnectionIsUpIsNotSentOn(boolean cancels) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      start(
          (event, out) -> {
            sendOnRequest(event, out);
            if (event instanceof ClientDisconnected gone && cancels) {
              out.accept(new CancelAttempt(gone.requestId(), 0));
            }
          },
          upstream);
      take("1", "order", 15_000, () -> core.clientDisconnected("1"));
      assertEquals(cancels ? AttemptStatus.CANCELLED : AttemptStatus.NOT_SENT, outcome().status());
      take("2", "look", 15_000);
      assertEquals("served", answer());
      assertEquals(1, upstream.requests.size());
      assertTrue(
          upstream.requests.get(0).contains("X-Correlation-Id: 2\n"), upstream.requests.get(0));
    }
  }

  /** A machine that takes nothing for a while must not run later what nobody waits for any more. */
  @Test
  void restOfARequestThatIsGivenUpNeverArrives() throws Exception {
    try (ServerSocket upstream = new ServerSocket()) {
      upstream.setReceiveBufferSize(4_096);
      upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      start(
          (event, out) -> {
            sendOnRequest(event, out);
            if (event instanceof ClientDisconnected gone) {
              out.accept(new CancelAttempt(gone.requestId(), 0));
            }
          });
      EndpointDescriptor listed =
          new EndpointDescriptor(UPSTREAM, "a", 1, EndpointStatus.READY, 0, 1);
      loop.submit(
              () ->
                  core.updateEndpoints(
                      new EndpointList(
                          8,
                          false,
                          List.of(
                              new EndpointList.Host(
                                  (InetSocketAddress) upstream.getLocalSocketAddress(), listed)))))
          .get();
      take("1", "order", 15_000, UpstreamResponse.MAX_BODY_BYTES, () -> {});
      try (Socket connection = upstream.accept()) {
        InputStream in = connection.getInputStream();
        int read = in.readNBytes(1).length;
        loop.submit(() -> core.clientDisconnected("1")).get();
        try {
          read += in.readAllBytes().length;
        } catch (IOException e) {
          // A reset: the rest is lost, as it has to be.
        }
        assertTrue(read < UpstreamResponse.MAX_BODY_BYTES, "bytes that arrived: " + read);
      }
    }
  }

  @Test
  void exceptionOfTheModuleAnswersAllThatIsOpen() throws Exception {
    start(
        (event, out) -> {
          if (event instanceof RequestArrived r && r.requestId().equals("2")) {
            throw new IllegalStateException("defect");
          }
        });
    take("1", "look", 15_000);
    take("2", "look", 15_000);
    assertEquals("refused", answer());
    assertEquals("refused", answer());
    assertEquals("defect", defects.poll(30, TimeUnit.SECONDS).getMessage());
  }

  @Test
  void actionThatTheModuleNeverEmitsIsNamed() throws Exception {
    start(
        (event, out) -> {
          if (event instanceof RequestArrived) {
            out.accept(new FetchEndpoints());
          }
        });
    take("1", "look", 15_000);
    assertTrue(defects.poll(30, TimeUnit.SECONDS).getMessage().contains("FetchEndpoints"));
  }

  /** Whatever the grace: with none, one that is ready still gets its requests. */
  @ParameterizedTest
  @ValueSource(longs = {0, 100_000_000, 2_000_000_000})
  void leavingUpstreamGetsNothingNewAndTheOutcomeIsNotNested(long grace) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      drainGrace = grace;
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "look", 15_000);
      assertEquals(
          AttemptStatus.SERVED,
          outcome().status(),
          "an idle connection makes the next send end at once");
      loop.submit(() -> core.updateEndpoints(leaving(upstream))).get();
      take("2", "look", 15_000);
      assertEquals(AttemptStatus.NOT_SENT, outcome().status());
      assertEquals(1, upstream.requests.size());
      assertFalse(nested);
      assertTrue(events.stream().noneMatch(e -> e instanceof EndpointListUpdate));
    }
  }

  /** The connect may take longer than the grace. */
  @Test
  void upstreamThatLeavesWhileTheConnectionComesUpGetsNothing() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "look", 15_000, () -> core.updateEndpoints(leaving(upstream)));
      assertEquals(AttemptStatus.NOT_SENT, outcome().status());
      assertEquals(0, upstream.requests.size());
    }
  }

  /** What it has taken it finishes; its connection is of no further use. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void upstreamThatTheListDropsStillAnswersWhatItHas(boolean whole) throws Exception {
    CountDownLatch dropped = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              dropped.await();
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      start(RequestCoordinatorTest::sendOnRequest, upstream);
      take("1", "order", 15_000);
      TestProxy.waitUntil(() -> upstream.requests.size() == 1);
      EndpointDescriptor gone =
          new EndpointDescriptor(UPSTREAM, "a", 1, EndpointStatus.REMOVED, 0, 1);
      loop.submit(
              () ->
                  core.updateEndpoints(
                      new EndpointList(
                          8,
                          whole,
                          whole
                              ? List.of()
                              : List.of(new EndpointList.Host(upstream.address(), gone)))))
          .get();
      dropped.countDown();
      assertEquals("served", answer());
      TestProxy.waitUntil(() -> upstream.connectionsClosedByPeer.get() == 1);
    }
  }

  private static EndpointList leaving(FakeHttpServer upstream) {
    return new EndpointList(
        8,
        false,
        List.of(
            new EndpointList.Host(
                upstream.address(),
                new EndpointDescriptor(UPSTREAM, "a", 1, EndpointStatus.DRAINING, 0, 1))));
  }

  @Test
  void repeatAfterTheKeyedWindowIsNotSent() throws Exception {
    Consumer<Consumer<Action>> again =
        out -> out.accept(new ForwardAttempt("1", UPSTREAM, 15_000_000_000L));
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) ->
                FakeHttpServer.write(out, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))) {
      start(
          (event, out) -> {
            if (event instanceof RequestArrived || event instanceof TimerFired) {
              again.accept(out);
            } else if (event instanceof AttemptCompleted o && o.status() == AttemptStatus.ERROR) {
              out.accept(
                  new SetTimer(
                      "again",
                      System.currentTimeMillis() * 1_000_000
                          + settings.requestClasses().get(1).deduplicationWindowNanos()
                          + 50_000_000));
            }
          },
          upstream);
      take("1", "order", 15_000);
      assertEquals(AttemptStatus.ERROR, outcome().status());
      assertEquals(AttemptStatus.NOT_SENT, outcome().status());
      assertEquals(1, upstream.requests.size());
    }
  }
}
