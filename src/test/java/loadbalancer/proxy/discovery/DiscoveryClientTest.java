package loadbalancer.proxy.discovery;

import static loadbalancer.proxy.discovery.FakeDiscovery.RESPONSE_HEAD;
import static loadbalancer.proxy.discovery.FakeDiscovery.listJson;
import static loadbalancer.proxy.discovery.FakeDiscovery.writeChunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.Test;

/** Which watch is active: after a failure, and after a move to another address. */
class DiscoveryClientTest extends WatchTestSupport {

  /** As where clients and upstreams hold every descriptor; the failure is notified on the loop. */
  @Test
  void missingFileDescriptorFailsTheWatchAndAnotherCanStart() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, listJson(8, true));
            })) {
      AtomicInteger failuresLeft = new AtomicInteger(1);
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop,
              () -> {
                if (failuresLeft.getAndDecrement() > 0) {
                  throw new ChannelException("too many open files");
                }
                return new NioSocketChannel();
              },
              WatchTarget.of(server.address(), 7),
              new WatchTimeouts(60_000, 60_000),
              listener);
      loop.execute(() -> discovery.watch(true));
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.watch(true));
      assertEquals(8, ((EndpointList) listener.next()).version());
    }
  }

  @Test
  void moveWatchesTheNewAddressForTheFullListAtOnceWithoutAFailure() throws Exception {
    try (FakeHttpServer before =
            new FakeHttpServer(
                (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD));
        FakeHttpServer after =
            new FakeHttpServer(
                (request, connection, output) -> {
                  FakeHttpServer.write(output, RESPONSE_HEAD);
                  writeChunk(output, listJson(3, true));
                })) {
      DiscoveryClient discovery = startWatch(before.address(), 60_000);
      TestProxy.waitUntil(() -> before.requests.size() == 1);
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals(3, ((EndpointList) listener.next()).version());
      assertTrue(
          after.requests.get(0).startsWith("GET /discovery/hosts?watch=1 "), after.requests.get(0));
      TestProxy.waitUntil(() -> before.connectionsClosedByPeer.get() == 1);
      loop.execute(() -> discovery.watch(true));
      loop.submit(() -> {}).get();
      assertTrue(listener.events.isEmpty(), "the end of the old watch is not a failure");
      assertEquals(1, after.requests.size(), "one watch at a time");
    }
  }

  @Test
  void moveDuringTheBackOffDoesNotWaitForItsEnd() throws Exception {
    try (FakeHttpServer after =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, listJson(3, true));
            })) {
      DiscoveryClient discovery = startWatch(TestProxy.unreachableAddress(), 60_000);
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals(
          3, ((EndpointList) listener.next()).version(), "though no watch was requested again");
    }
  }

  /** Only a watch that fails in time can be followed by another before a change counts. */
  @Test
  void watchAtASilentNewAddressFailsInTimeAndCanBeStartedAgain() throws Exception {
    try (FakeHttpServer after = new FakeHttpServer((request, connection, output) -> {})) {
      DiscoveryClient discovery = startWatch(TestProxy.unreachableAddress(), 500, 60_000);
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.moveTo(after.address()));
      assertEquals("failed", listener.next());
      after.requestHandler =
          (request, connection, output) -> {
            FakeHttpServer.write(output, RESPONSE_HEAD);
            writeChunk(output, listJson(3, true));
          };
      loop.execute(() -> discovery.watch(true));
      assertEquals(3, ((EndpointList) listener.next()).version());
    }
  }
}
