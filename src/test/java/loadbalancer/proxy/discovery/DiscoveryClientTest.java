package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Stream;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.IdleClients;
import loadbalancer.proxy.ManualEventLoop;
import loadbalancer.proxy.TestClient;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch, against a discovery that splits, falls silent, fails and changes its mind. */
class DiscoveryClientTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<Object> heard = new LinkedBlockingQueue<>();

  /** Bounds by the clock that a test moves on. */
  private static final long CALL = 1_000;

  private static final long SILENCE = 3_250;

  private final ManualEventLoop clock = new ManualEventLoop();

  private static void chunk(OutputStream out, String text) throws Exception {
    FakeHttpServer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static String list(long index, boolean whole, String... endpoints) {
    return "{\"index\":"
        + index
        + ",\"snapshot\":"
        + whole
        + ",\"endpoints\":["
        + String.join(",", endpoints)
        + "]}\n";
  }

  /** A watch that may be silent for so long and whose call has no other bound. */
  private DiscoveryClient discovery(InetSocketAddress address, long silenceMillis) {
    return discovery(address, silenceMillis, silenceMillis);
  }

  private DiscoveryClient discovery(
      InetSocketAddress address, long firstResponseMillis, long silenceMillis) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(address, 7),
            new WatchTimeouts(firstResponseMillis, silenceMillis),
            recorder(() -> "failed"));
    loop.execute(() -> discovery.watch(true));
    return discovery;
  }

  private DiscoveryClient clocked(InetSocketAddress address) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            clock,
            WatchTarget.of(address, 7),
            new WatchTimeouts(CALL, SILENCE),
            recorder(() -> "failed"));
    clock.execute(() -> discovery.watch(true));
    return discovery;
  }

  /** Records each list, and of each failure what {@code failure} makes of it at that moment. */
  private DiscoveryListener recorder(Supplier<String> failure) {
    return new DiscoveryListener() {
      @Override
      public void endpointListReceived(EndpointList list) {
        heard.add(list);
      }

      @Override
      public void watchFailed() {
        heard.add(failure.get());
      }
    };
  }

  private Object next() throws InterruptedException {
    return heard.poll(30, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    clock.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void linesMayBeSplitAnywhereAndTheNextWatchAsksForWhatCameAfter() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              for (char c : ("\n" + list(8, true) + "\n\n" + list(9, false)).toCharArray()) {
                chunk(out, String.valueOf(c));
              }
              FakeHttpServer.write(out, "0\r\n\r\n");
            })) {
      DiscoveryClient discovery = discovery(server.address(), 60_000);
      assertEquals(8, ((EndpointList) next()).version());
      assertEquals(9, ((EndpointList) next()).version());
      assertEquals("failed", next(), "a watch that ended");
      loop.execute(() -> discovery.watch(true));
      next();
      assertTrue(
          server.requests.get(0).startsWith("GET /discovery/hosts?watch=1&after=7 "),
          server.requests.get(0));
      assertTrue(
          server.requests.get(1).startsWith("GET /discovery/hosts?watch=1&after=9 "),
          server.requests.get(1));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n"})
  void listsMayBeIndentedOverSeveralLines(String end) throws Exception {
    String first =
        """
        {
          "index": 8,
          "snapshot": true,
          "endpoints": [
            {
              "name": "s-{\\"]",
              "address": "127.0.0.1:1",

              "status": "in_service"
            }
          ]
        }
        """
            .replace("\n", end);
    String second = list(9, false).replace("{", "{" + end).replace(",", "," + end + "\t");
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, end + first + second + end + first.replace("8", "10").substring(0, 40));
              chunk(out, first.replace("8", "10").substring(40) + end);
            })) {
      discovery(server.address(), 60_000);
      EndpointList list = (EndpointList) next();
      assertEquals(8, list.version());
      assertEquals(
          EndpointList.endpointId("s-{\"]"), list.endpoints().get(0).descriptor().endpointId());
      assertEquals(9, ((EndpointList) next()).version());
      assertEquals(10, ((EndpointList) next()).version());
      assertTrue(heard.isEmpty());
    }
  }

  /**
   * Guards the drain rule: a watch that never ends its list looks alive by what comes behind it.
   */
  @Test
  void listThatStopsHalfwayIsSilenceThoughHeartbeatsGoOn() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, list(8, true));
              chunk(out, "{\"index\": 9,\n");
              while (true) {
                Thread.sleep(20);
                chunk(out, "\n");
              }
            })) {
      discovery(server.address(), 1_000);
      assertEquals(8, ((EndpointList) next()).version());
      assertEquals("failed", next());
      TestProxy.waitUntil(() -> server.connectionsClosedByPeer.get() == 1);
      assertTrue(heard.isEmpty());
    }
  }

  @Test
  void silentWatchFailsOnceAndIsClosed() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer((request, connection, out) -> FakeHttpServer.write(out, HEAD))) {
      discovery(server.address(), 200);
      assertEquals("failed", next());
      TestProxy.waitUntil(() -> server.connectionsClosedByPeer.get() == 1);
      assertTrue(heard.isEmpty());
    }
  }

  /** Discovery that is down: connects come up, or an answer begins, and nothing more comes. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 200", HEAD, HEAD + "1", HEAD + "12\r\n{\"index\": 8,"})
  void callThatTellsNothingEndsBeforeAWatchWouldBeSilent(String text) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer((request, connection, out) -> FakeHttpServer.write(out, text))) {
      discovery(server.address(), 200, 60_000);
      assertEquals("failed", next());
      TestProxy.waitUntil(() -> server.connectionsClosedByPeer.get() == 1);
      assertTrue(heard.isEmpty());
    }
  }

  /** The backlog is full, so the connect never comes up, as at a machine that vanished. */
  @Test
  void callWhoseConnectNeverComesUpEnds() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> waiting = new ArrayList<>();
      try {
        for (int i = 0; i < 10; i++) {
          waiting.add(new Socket());
          waiting.get(i).connect(full.getLocalSocketAddress(), 200);
        }
      } catch (SocketTimeoutException e) {
        // Nothing more comes up from here on.
      }
      discovery((InetSocketAddress) full.getLocalSocketAddress(), 200, 60_000);
      assertEquals("failed", next());
      for (Socket socket : waiting) {
        socket.close();
      }
    }
  }

  /**
   * What ends a call that told nothing must not end a watch, which nothing new may keep silent
   * between heartbeats.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void watchThatHasToldSomethingIsCutOnlyOnceItIsSilent(boolean heartbeat) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, heartbeat ? "\n" : list(8, true));
            })) {
      clocked(server.address());
      TestProxy.waitUntil(() -> clock.millisToNextTimer() == SILENCE);
      if (!heartbeat) {
        assertEquals(8, ((EndpointList) next()).version());
      }
      clock.advance(SILENCE - 1);
      assertTrue(heard.isEmpty());
      clock.advance(1);
      assertEquals("failed", next());
    }
  }

  @Test
  void longFirstListIsNotCutAsLongAsMoreOfItComes() throws Exception {
    Semaphore more = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              for (String part : list(8, true).split("(?<=,)")) {
                more.acquire();
                chunk(out, part);
              }
            })) {
      clocked(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      for (int part = 0; part < 2; part++) {
        clock.advance(CALL - 1);
        more.release();
        TestProxy.waitUntil(() -> clock.millisToNextTimer() == CALL);
      }
      clock.advance(CALL - 1);
      more.release();
      assertEquals(8, ((EndpointList) next()).version());
    }
  }

  /**
   * Guards the drain rule: a first list that trickles for ever would be no failure and tell
   * nothing.
   */
  @Test
  void firstListThatNeverEndsIsCutThoughMoreOfItComes() throws Exception {
    Semaphore more = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, "{\"snapshot\": \"");
              while (true) {
                more.acquire();
                chunk(out, "x");
              }
            })) {
      clocked(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      long step = CALL / 2;
      for (long past = step; past <= SILENCE - CALL; past += step) {
        clock.advance(step);
        more.release();
        TestProxy.waitUntil(() -> clock.millisToNextTimer() == CALL);
      }
      clock.advance(CALL - 1);
      more.release();
      long left = SILENCE % step + 1;
      TestProxy.waitUntil(() -> clock.millisToNextTimer() == left);
      clock.advance(left - 1);
      assertTrue(heard.isEmpty());
      clock.advance(1);
      assertEquals("failed", next());
    }
  }

  /**
   * Guards the drain rule: heartbeats behind a first list that stopped are white space inside it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void firstListThatStopsHalfwayEndsItsCallThoughHeartbeatsGoOn(boolean withHead) throws Exception {
    String part = "{\"index\": 8,\n";
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              if (withHead) {
                FakeHttpServer.write(
                    out, HEAD + Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
              } else {
                FakeHttpServer.write(out, HEAD);
                Thread.sleep(20);
                chunk(out, part);
              }
              while (true) {
                Thread.sleep(20);
                chunk(out, "\n");
              }
            })) {
      discovery(server.address(), 500, 60_000);
      assertEquals("failed", next());
      TestProxy.waitUntil(() -> server.connectionsClosedByPeer.get() == 1);
    }
  }

  /** Guards the drain rule on the real figures: the protocol's are written out here once more. */
  @Test
  void everyChainEndsBeforeWhatDiscoveryHasCountsAsTold() throws Exception {
    long heartbeat = 2_000;
    long toldAfterSilence = 6_000;
    long toldAfterHangup = 4_000;
    long margin = 500;
    long backOff = longestBackOffMillis();
    assertTrue(
        WatchTimeouts.SILENCE_MILLIS > 2 * heartbeat, "a heartbeat that is late is no silence");
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_MILLIS > heartbeat,
        "a first heartbeat that takes its time is no failure");
    assertTrue(
        WatchTimeouts.SILENCE_MILLIS + backOff <= toldAfterSilence - margin,
        "silence, back-off " + backOff);
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_MILLIS + backOff <= toldAfterHangup - margin,
        "call in vain, back-off " + backOff);
    assertTrue(backOff > 500, "the back-off still grows: " + backOff);
  }

  /** What the module waits at most before it asks again, over a run of failures and many seeds. */
  private static long longestBackOffMillis() throws Exception {
    PolicySettings settings =
        PolicySettingsReader.read(
            JsonObjectReader.parse(
                    "configuration", TestProxy.configurationJson(TestProxy.unreachableAddress(), 1))
                .nested("settings"));
    assertTrue(settings.endpointListPolled());
    long longest = 0;
    for (long seed = 0; seed < 100; seed++) {
      LoadBalancingPolicy module = new AdaptiveLoadBalancingPolicy(settings, seed);
      long now = 1_000_000_000_000L;
      module.handle(
          now, new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, List.of()), action -> {});
      for (int failures = 0; failures < 20; failures++) {
        List<Action> actions = new ArrayList<>();
        module.handle(
            now, new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()), actions::add);
        long failed = now;
        while (!actions.contains(new WatchEndpoints(true))) {
          now = ((SetTimer) actions.get(actions.size() - 1)).fireAtNanos();
          module.handle(now, new TimerFired("sweep"), actions::add);
        }
        longest = Math.max(longest, now - failed);
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(longest) + 1;
  }

  @Test
  void refusalIsAFailure() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) ->
                FakeHttpServer.write(out, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"))) {
      discovery(server.address(), 60_000);
      assertEquals("failed", next());
      assertTrue(heard.isEmpty());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"index\":}\n", "{\"index\":8}\n", "nonsense\n", "[{]}\n", "}\n"})
  void malformedListIsAFailure(String text) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, text);
            })) {
      discovery(server.address(), 60_000);
      assertEquals("failed", next());
      TestProxy.waitUntil(() -> server.connectionsClosedByPeer.get() == 1);
      assertTrue(heard.isEmpty());
    }
  }

  @Test
  void nobodyThereIsAFailure() throws Exception {
    discovery(TestProxy.unreachableAddress(), 60_000);
    assertEquals("failed", next());
  }

  /**
   * Guards the watch where clients and upstreams hold every descriptor: its end must be told, and
   * on the loop.
   */
  @Test
  void noDescriptorForASocketIsAFailureAndTheNextCallIsMade() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, list(8, true));
            })) {
      AtomicInteger left = new AtomicInteger(1);
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop,
              () -> {
                if (left.getAndDecrement() > 0) {
                  throw new ChannelException("too many open files");
                }
                return new NioSocketChannel();
              },
              WatchTarget.of(server.address(), 7),
              new WatchTimeouts(60_000, 60_000),
              recorder(() -> loop.inEventLoop() ? "failed" : "elsewhere"));
      loop.execute(() -> discovery.watch(true));
      assertEquals("failed", next());
      loop.execute(() -> discovery.watch(true));
      assertEquals(8, ((EndpointList) next()).version());
    }
  }

  @Test
  void moveAsksTheNewOneForAllAtOnceAndIsNobodysFailure() throws Exception {
    try (FakeHttpServer before =
            new FakeHttpServer((request, connection, out) -> FakeHttpServer.write(out, HEAD));
        FakeHttpServer after =
            new FakeHttpServer(
                (request, connection, out) -> {
                  FakeHttpServer.write(out, HEAD);
                  chunk(out, list(3, true));
                })) {
      DiscoveryClient discovery = discovery(before.address(), 60_000);
      TestProxy.waitUntil(() -> before.requests.size() == 1);
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals(3, ((EndpointList) next()).version());
      assertTrue(
          after.requests.get(0).startsWith("GET /discovery/hosts?watch=1 "), after.requests.get(0));
      TestProxy.waitUntil(() -> before.connectionsClosedByPeer.get() == 1);
      loop.execute(() -> discovery.watch(true));
      loop.submit(() -> {}).get();
      assertTrue(heard.isEmpty(), "the old one's end is no failure");
      assertEquals(1, after.requests.size(), "one watch is enough");
    }
  }

  @Test
  void moveDuringTheBackOffDoesNotWaitForItsEnd() throws Exception {
    try (FakeHttpServer after =
        new FakeHttpServer(
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(out, list(3, true));
            })) {
      DiscoveryClient discovery = discovery(TestProxy.unreachableAddress(), 60_000);
      assertEquals("failed", next());
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals(3, ((EndpointList) next()).version(), "though nobody has asked again");
    }
  }

  /** Guards the rule on SIGHUP: only a call that ends can be followed by another one in time. */
  @Test
  void moveToAnAddressThatIsSilentEndsLikeAnyCallAndIsAskedAgain() throws Exception {
    try (FakeHttpServer after = new FakeHttpServer((request, connection, out) -> {})) {
      DiscoveryClient discovery = discovery(TestProxy.unreachableAddress(), 500, 60_000);
      assertEquals("failed", next());
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals("failed", next());
      after.requestHandler =
          (request, connection, out) -> {
            FakeHttpServer.write(out, HEAD);
            chunk(out, list(3, true));
          };
      loop.execute(() -> discovery.watch(true));
      assertEquals(3, ((EndpointList) next()).version());
    }
  }

  @Test
  void nodeFollowsAnAddressThatMovedAndAsksAgainAfterAFailure() throws Exception {
    try (FakeHttpServer before = FakeHttpServer.respondingWith("before");
        FakeHttpServer after = FakeHttpServer.respondingWith("after");
        FakeHttpServer server =
            new FakeHttpServer(
                (request, connection, out) ->
                    FakeHttpServer.write(out, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"))) {
      TestProxy node = new TestProxy(server.address(), 1, before);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(
            "before", client.exchange(TestClient.idempotentRequest("1", 15_000, "")).body());
        server.requestHandler =
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(
                  out,
                  list(8, false, TestProxy.endpointJson("s-0", after.address(), "in_service")));
            };
        TestProxy.waitUntil(() -> before.connectionsClosedByPeer.get() == 1);
        assertEquals(
            "after", client.exchange(TestClient.idempotentRequest("2", 15_000, "")).body());
      }
    }
  }

  static Stream<Arguments> crowds() {
    String[][] crowds = {
      {IdleClients.NO_BYTES},
      {IdleClients.READINESS_REQUEST},
      {IdleClients.PARTIAL_HEAD},
      {IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD}
    };
    return Stream.of(crowds).flatMap(c -> Stream.of(Arguments.of(true, c), Arguments.of(false, c)));
  }

  /**
   * Discovery falls silent, or ends each watch for a while, as idle clients hold all that clients
   * may have.
   */
  @ParameterizedTest
  @MethodSource("crowds")
  void watchComesBackAndClientsAreServedThoughIdleOnesFillTheSockets(boolean silent, String[] crowd)
      throws Exception {
    try (FakeHttpServer before = FakeHttpServer.respondingWith("before");
        FakeHttpServer after = FakeHttpServer.respondingWith("after");
        FakeHttpServer server =
            new FakeHttpServer((request, connection, out) -> FakeHttpServer.write(out, HEAD))) {
      TestProxy node =
          new TestProxy(
              TestProxy.configurationJson(server.address(), 1, before)
                  .replace("\"sockets\":1024", "\"sockets\":256"));
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      try (IdleClients idle = new IdleClients(node.address, 600, true, crowd)) {
        TestProxy.waitUntil(() -> idle.closedByServer.get() > 0);
        if (!silent) {
          server.requestHandler = (request, connection, out) -> connection.close();
          server.connections.get(0).close();
          TestProxy.waitUntil(() -> server.requests.size() > 2);
        }
        server.requestHandler =
            (request, connection, out) -> {
              FakeHttpServer.write(out, HEAD);
              chunk(
                  out,
                  list(8, false, TestProxy.endpointJson("s-0", after.address(), "in_service")));
            };
        int watches = server.requests.size();
        for (int i = 0; server.requests.size() == watches; i++) {
          assertEquals(
              200,
              answerTo(node, TestClient.idempotentRequest("d" + i, 15_000, "")).status(),
              "with the list it knows");
        }
        int[] calls = {0};
        TestProxy.waitUntil(
            () ->
                answerTo(node, TestClient.idempotentRequest("l" + calls[0]++, 15_000, ""))
                    .body()
                    .equals("after"));
        assertEquals(200, answerTo(node, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
      }
    }
  }

  /** The answer to a new client's first request. */
  private static TestClient.Response answerTo(TestProxy node, String request) {
    try (TestClient client = new TestClient(node.address)) {
      return client.exchange(request);
    } catch (IOException e) {
      throw new AssertionError("a client was turned away", e);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pushed", "on_request"})
  void nodeFollowsTheListHoweverTheSettingsSayThatItComes(String mode) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer((request, connection, out) -> FakeHttpServer.write(out, HEAD))) {
      new TestProxy(TestProxy.configurationJson(server.address(), 1).replace("on_request", mode));
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      assertTrue(
          server.requests.get(0).startsWith("GET /discovery/hosts?watch=1&after=7 "),
          server.requests.get(0));
    }
  }

  @Test
  void upstreamAbsentFromAWholeListGetsNothingMore() throws Exception {
    try (FakeHttpServer kept = FakeHttpServer.respondingWith("kept");
        FakeHttpServer gone = FakeHttpServer.respondingWith("gone");
        FakeHttpServer server =
            new FakeHttpServer(
                (request, connection, out) -> {
                  FakeHttpServer.write(out, HEAD);
                  chunk(
                      out,
                      list(8, true, TestProxy.endpointJson("s-0", kept.address(), "in_service")));
                })) {
      TestProxy node = new TestProxy(server.address(), 1, kept, gone);
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      try (TestClient client = new TestClient(node.address)) {
        int[] calls = {0};
        TestProxy.waitUntil(() -> allKept(client, calls));
      }
    }
  }

  /** The list may take a moment; from then on no key leads to the upstream that is gone. */
  private static boolean allKept(TestClient client, int[] calls) {
    try {
      boolean all = true;
      for (int i = 0; i < 20; i++) {
        String request =
            TestClient.idempotentRequest("l" + calls[0]++, 15_000, "")
                .replace("Key: k", "Key: k" + i);
        all &= client.exchange(request).body().equals("kept");
      }
      return all;
    } catch (IOException e) {
      return false;
    }
  }
}
