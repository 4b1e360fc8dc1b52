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

/** The deadlines of one watch, to the millisecond of a manual clock. */
class EndpointListWatchDeadlineTest {

  /** Limits in the time of the manual clock. */
  private static final long FIRST_RESPONSE_MILLIS = 1_000;

  private static final long SILENCE_MILLIS = 3_250;

  private final ManualEventLoop loop = new ManualEventLoop();
  private final RecordingListener listener = new RecordingListener(loop);

  private void startWatch(InetSocketAddress address) {
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(address, 7),
            new WatchTimeouts(FIRST_RESPONSE_MILLIS, SILENCE_MILLIS),
            listener);
    loop.execute(() -> discovery.watch(true));
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** The shorter limit on the first response must not end a watch between two heartbeats. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void establishedWatchFailsAtTheSilenceTimeoutOnly(boolean heartbeat) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, heartbeat ? "\n" : listJson(8, true));
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> loop.millisToNextTimer() == SILENCE_MILLIS);
      if (!heartbeat) {
        assertEquals(8, ((EndpointList) listener.next()).version());
      }
      loop.advance(SILENCE_MILLIS - 1);
      assertTrue(listener.events.isEmpty());
      loop.advance(1);
      assertEquals("failed", listener.next());
    }
  }

  @Test
  void longFirstListIsNotCutOffWhileItArrives() throws Exception {
    Semaphore more = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              for (String part : listJson(8, true).split("(?<=,)", -1)) {
                more.acquire();
                writeChunk(output, part);
              }
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      for (int part = 0; part < 2; part++) {
        loop.advance(FIRST_RESPONSE_MILLIS - 1);
        more.release();
        TestProxy.waitUntil(() -> loop.millisToNextTimer() == FIRST_RESPONSE_MILLIS);
      }
      loop.advance(FIRST_RESPONSE_MILLIS - 1);
      more.release();
      assertEquals(8, ((EndpointList) listener.next()).version());
    }
  }

  /** Otherwise a first list that trickles for ever would neither fail nor notify of a drain. */
  @Test
  void endlessFirstListIsCutOffAlthoughItArrives() throws Exception {
    Semaphore more = new Semaphore(0);
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, "{\"snapshot\": \"");
              while (true) {
                more.acquire();
                writeChunk(output, "x");
              }
            })) {
      startWatch(server.address());
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      long stepMillis = FIRST_RESPONSE_MILLIS / 2;
      for (long passed = stepMillis;
          passed <= SILENCE_MILLIS - FIRST_RESPONSE_MILLIS;
          passed += stepMillis) {
        loop.advance(stepMillis);
        more.release();
        TestProxy.waitUntil(() -> loop.millisToNextTimer() == FIRST_RESPONSE_MILLIS);
      }
      loop.advance(FIRST_RESPONSE_MILLIS - 1);
      more.release();
      long millisLeft = SILENCE_MILLIS % stepMillis + 1;
      TestProxy.waitUntil(() -> loop.millisToNextTimer() == millisLeft);
      loop.advance(millisLeft - 1);
      assertTrue(listener.events.isEmpty());
      loop.advance(1);
      assertEquals("failed", listener.next());
    }
  }
}
