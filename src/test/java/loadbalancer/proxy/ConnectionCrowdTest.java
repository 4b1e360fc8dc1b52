package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that peers which hold all client connections do not delay the clients that come later. */
class ConnectionCrowdTest {

  private static final int SOCKETS = 100;

  private static final int MAX_CONNECTIONS = 45;

  private static final int PEERS = 80;
  private static final long PEER_PERIOD_MILLIS = 2;
  private static final int CLIENTS = 5;
  private static final int TIME_LEFT_MILLIS = 500;

  /** Half a second after its time a request is lost; on sockets 50 ms are added to each limit. */
  private static final long MAX_RESPONSE_NANOS =
      TimeUnit.MILLISECONDS.toNanos(TIME_LEFT_MILLIS + 500 + 50);

  /** A peer that sends no proper request gets an error or a close within this time. */
  private static final long MAX_PEER_NANOS = TimeUnit.SECONDS.toNanos(3);

  static Stream<Named<List<String>>> halfRequests() {
    String keyed = TestClient.keyedRequest("half", 15_000);
    String incompleteBody = keyed.replace("Length: 4", "Length: 400");
    return Stream.of(
        Named.of(
            "second head incomplete",
            List.of(IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD)),
        Named.of("second body incomplete", List.of(IdleClients.READINESS_REQUEST, incompleteBody)),
        Named.of("first head incomplete", List.of(IdleClients.PARTIAL_HEAD)),
        Named.of("first body incomplete", List.of(incompleteBody)),
        Named.of("nothing sent", List.of(IdleClients.NO_BYTES)));
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterEach
  void stopThreads() {
    threads.shutdownNow();
  }

  /** Guards against half requests after a response, which kept all places for over two seconds. */
  @ParameterizedTest
  @MethodSource("halfRequests")
  void clientsAreAnsweredInTimeBesidePeersThatStopInsideARequest(List<String> texts)
      throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      String configuration =
          TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream)
              .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS);
      try (TestProxy proxy = new TestProxy(configuration)) {
        AtomicInteger holders = new AtomicInteger();
        List<Future<Long>> peers = new ArrayList<>();
        for (int i = 0; i < PEERS; i++) {
          peers.add(threads.submit(() -> stayAfter(proxy.address, texts, holders)));
          Thread.sleep(PEER_PERIOD_MILLIS);
        }
        TestProxy.waitUntil(() -> holders.get() >= MAX_CONNECTIONS);
        for (int i = 0; i < CLIENTS; i++) {
          assertAnsweredInTime(proxy.address, "c" + i);
        }
        for (Future<Long> peer : peers) {
          assertTrue(peer.get() < MAX_PEER_NANOS, "a peer got neither an error nor a close in 3 s");
        }
      }
    }
  }

  /**
   * Connects, sends the texts, each after the response to the one before, and stays.
   *
   * @return the time from the connect to the error or the close, in nanoseconds
   */
  private static long stayAfter(
      InetSocketAddress address, List<String> texts, AtomicInteger holders) throws IOException {
    long connectNanos = System.nanoTime();
    try (TestClient peer = new TestClient(address)) {
      for (String text : texts.subList(0, texts.size() - 1)) {
        peer.exchange(text);
      }
      peer.send(texts.get(texts.size() - 1));
      holders.incrementAndGet();
      peer.isClosedByServer();
    } catch (IOException e) {
      // The proxy has closed the connection between two texts.
    }
    return System.nanoTime() - connectNanos;
  }

  private static void assertAnsweredInTime(InetSocketAddress address, String id) throws Exception {
    try (TestClient client = new TestClient(address)) {
      long sentNanos = System.nanoTime();
      String request = TestClient.idempotentRequest(id, TIME_LEFT_MILLIS, "");
      assertEquals(200, client.exchange(request).status());
      long responseNanos = System.nanoTime() - sentNanos;
      assertTrue(
          responseNanos < MAX_RESPONSE_NANOS,
          "answered after " + responseNanos / 1_000_000 + " ms");
    }
  }
}
