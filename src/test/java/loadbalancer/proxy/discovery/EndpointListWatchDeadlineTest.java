package loadbalancer.proxy.discovery;

import static loadbalancer.proxy.discovery.FakeDiscovery.RESPONSE_HEAD;
import static loadbalancer.proxy.discovery.FakeDiscovery.listJson;
import static loadbalancer.proxy.discovery.FakeDiscovery.writeChunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.ManualEventLoop;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The deadlines of one watch, checked to the millisecond on a manual clock. */
class EndpointListWatchDeadlineTest {

  /** Timeouts on the manual clock. */
  private static final long FIRST_RESPONSE_TIMEOUT_MILLIS = 1_000;

  private static final long FIRST_LIST_TIMEOUT_MILLIS = 4_250;
  private static final long IDLE_TIMEOUT_MILLIS = 3_250;

  private final ManualEventLoop loop = new ManualEventLoop();
  private final RecordingListener listener = new RecordingListener(loop);

  private void startWatch(InetSocketAddress address) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(address, 7),
            new WatchTimeouts(
                FIRST_RESPONSE_TIMEOUT_MILLIS, FIRST_LIST_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS),
            listener);
    loop.execute(() -> discovery.watch(true));
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** The shorter first response timeout must not fail a watch that waits for a heartbeat. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void establishedWatchFailsAtTheIdleTimeoutOnly(boolean heartbeat) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, heartbeat ? "\n" : listJson(8, true));
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> loop.millisToNextTimer() == IDLE_TIMEOUT_MILLIS);
      if (!heartbeat) {
        assertEquals(8, ((EndpointList) listener.next()).version());
      }
      loop.advance(IDLE_TIMEOUT_MILLIS - 1);
      assertTrue(listener.events.isEmpty());
      loop.advance(1);
      assertEquals("failed", listener.next());
    }
  }

  @Test
  void longFirstListIsNotCutOffWhileItArrives() throws Exception {
    Semaphore nextChunk = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              for (String part : listJson(8, true).split("(?<=,)", -1)) {
                nextChunk.acquire();
                writeChunk(output, part);
              }
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      for (int part = 0; part < 2; part++) {
        loop.advance(FIRST_RESPONSE_TIMEOUT_MILLIS - 1);
        nextChunk.release();
        TestProxy.waitUntil(() -> loop.millisToNextTimer() == FIRST_RESPONSE_TIMEOUT_MILLIS);
      }
      loop.advance(FIRST_RESPONSE_TIMEOUT_MILLIS - 1);
      nextChunk.release();
      assertEquals(8, ((EndpointList) listener.next()).version());
    }
  }

  /**
   * Without a limit on the whole first list, one that keeps arriving in small parts would neither
   * fail the watch nor deliver a drain.
   */
  @Test
  void firstListThatNeverEndsFailsAtTheFirstListTimeout() throws Exception {
    Semaphore nextChunk = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, "{\"snapshot\": \"");
              while (true) {
                nextChunk.acquire();
                writeChunk(output, "x");
              }
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      long stepMillis = FIRST_RESPONSE_TIMEOUT_MILLIS / 2;
      for (long elapsedMillis = stepMillis;
          elapsedMillis <= FIRST_LIST_TIMEOUT_MILLIS - FIRST_RESPONSE_TIMEOUT_MILLIS;
          elapsedMillis += stepMillis) {
        loop.advance(stepMillis);
        nextChunk.release();
        TestProxy.waitUntil(() -> loop.millisToNextTimer() == FIRST_RESPONSE_TIMEOUT_MILLIS);
      }
      loop.advance(FIRST_RESPONSE_TIMEOUT_MILLIS - 1);
      nextChunk.release();
      long remainingMillis = FIRST_LIST_TIMEOUT_MILLIS % stepMillis + 1;
      TestProxy.waitUntil(() -> loop.millisToNextTimer() == remainingMillis);
      loop.advance(remainingMillis - 1);
      assertTrue(listener.events.isEmpty());
      loop.advance(1);
      assertEquals("failed", listener.next());
    }
  }
}
