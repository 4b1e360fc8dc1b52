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

/** Restarting a watch after a failure and switching to another discovery address. */
class DiscoveryClientTest extends WatchTestSupport {

  /**
   * Clients and upstream connections may use up all file descriptors, so that the channel cannot be
   * created. Netty then completes the connect on another thread; the failure must still be reported
   * on the event loop.
   */
  @Test
  void watchFailsWithoutAFileDescriptorAndCanBeStartedAgain() throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, listJson(8, true));
            })) {
      AtomicInteger remainingFailures = new AtomicInteger(1);
      DiscoveryClient discovery =
          new DiscoveryClient(
              loop,
              () -> {
                if (remainingFailures.getAndDecrement() > 0) {
                  throw new ChannelException("too many open files");
                }
                return new NioSocketChannel();
              },
              WatchTarget.of(server.address(), 7),
              new WatchTimeouts(60_000, 60_000, 60_000),
              listener);
      loop.execute(() -> discovery.watch(true));
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.watch(true));
      assertEquals(8, ((EndpointList) listener.next()).version());
    }
  }

  @Test
  void moveRequestsTheFullListFromTheNewAddressWithoutReportingAFailure() throws Exception {
    try (FakeHttpServer oldServer =
            new FakeHttpServer(
                (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD));
        FakeHttpServer newServer =
            new FakeHttpServer(
                (request, connection, output) -> {
                  FakeHttpServer.write(output, RESPONSE_HEAD);
                  writeChunk(output, listJson(3, true));
                })) {
      DiscoveryClient discovery = startWatch(oldServer.address(), 60_000);
      TestProxy.waitUntil(() -> oldServer.requests.size() == 1);
      loop.execute(() -> discovery.moveTo(newServer.address()));
      assertEquals(3, ((EndpointList) listener.next()).version());
      assertTrue(
          newServer.requests.get(0).startsWith("GET /discovery/hosts?watch=1 "),
          newServer.requests.get(0));
      TestProxy.waitUntil(() -> oldServer.connectionsClosedByPeer.get() == 1);
      loop.execute(() -> discovery.watch(true));
      loop.submit(() -> {}).get();
      assertTrue(listener.events.isEmpty(), "stopping the old watch is not reported as a failure");
      assertEquals(1, newServer.requests.size(), "only one watch is active");
    }
  }

  @Test
  void moveDuringBackoffStartsAWatchAtOnce() throws Exception {
    try (FakeHttpServer newServer =
        new FakeHttpServer(
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(output, listJson(3, true));
            })) {
      DiscoveryClient discovery = startWatch(TestProxy.unreachableAddress(), 60_000);
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.moveTo(newServer.address()));
      assertEquals(
          3, ((EndpointList) listener.next()).version(), "the move starts a watch by itself");
    }
  }

  /**
   * A new address that accepts the connection but never responds must fail the watch by the first
   * response timeout, so that another watch can start before a change counts as notified.
   */
  @Test
  void watchOfAnUnresponsiveNewAddressTimesOutAndCanBeStartedAgain() throws Exception {
    try (FakeHttpServer newServer = new FakeHttpServer((request, connection, output) -> {})) {
      DiscoveryClient discovery = startWatch(TestProxy.unreachableAddress(), 500, 60_000);
      assertEquals("failed", listener.next());
      loop.execute(() -> discovery.moveTo(newServer.address()));
      assertEquals("failed", listener.next());
      newServer.requestHandler =
          (request, connection, output) -> {
            FakeHttpServer.write(output, RESPONSE_HEAD);
            writeChunk(output, listJson(3, true));
          };
      loop.execute(() -> discovery.watch(true));
      assertEquals(3, ((EndpointList) listener.next()).version());
    }
  }
}
