package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.event.AttemptCompleted;
import loadbalancer.policy.event.ClientDisconnected;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;
import org.junit.jupiter.api.AfterEach;

/**
 * Clients that disconnect from a server with the real policy, on an event loop that a test can
 * block.
 */
abstract class ClientDisconnectFixture {

  /** The class's deadline: no test waits so long that a request would time out meanwhile. */
  static final long TIME_LEFT_MILLIS = 20_000;

  /** Serves all connections of the server. */
  final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  /** Disconnects of clients and outcomes of attempts, in the order of the policy's events. */
  final BlockingQueue<Event> endEvents = new LinkedBlockingQueue<>();

  /** The ids of the requests that arrived at the policy. */
  final BlockingQueue<String> arrivedRequestIds = new LinkedBlockingQueue<>();

  /** Runs on the event loop before the policy handles a request. */
  volatile Runnable beforeRequest = () -> {};

  /** Starts a server whose policy cancels the attempts of disconnected clients. */
  TestDownstreamServer start(FakeHttpServer... upstreams) throws Exception {
    return start(true, upstreams);
  }

  /**
   * Starts a server whose policy queues requests for as long as their clients wait: a test in which
   * the policy rejects the request would prove nothing.
   */
  TestDownstreamServer start(boolean cancels, FakeHttpServer... upstreams) throws Exception {
    return new TestDownstreamServer(
        loop,
        event -> {
          if (event instanceof ClientDisconnected || event instanceof AttemptCompleted) {
            endEvents.add(event);
          } else if (event instanceof RequestArrived arrived) {
            beforeRequest.run();
            arrivedRequestIds.add(arrived.requestId());
          }
        },
        configuration ->
            configuration
                .replace("\"cancel\":true", "\"cancel\":" + cancels)
                .replace("\"aim-ns\":2000000000", "\"aim-ns\":200000000000"),
        upstreams);
  }

  /** Stops the event loop and with it the server. */
  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** A request whose class is idempotent, with no time limit that a test reaches. */
  static String request(String id) {
    return TestClient.idempotentRequest(id, TIME_LEFT_MILLIS, "");
  }

  /** Blocks the event loop, which falls behind until the latch is counted down. */
  CountDownLatch blockLoop() throws InterruptedException {
    CountDownLatch loopMayContinue = new CountDownLatch(1);
    TestProxy.block(loop, loopMayContinue);
    return loopMayContinue;
  }

  /** One more client is served, after which the upstream has had this many requests. */
  void assertNextIsServed(TestDownstreamServer server, FakeHttpServer upstream, int requests)
      throws Exception {
    try (TestClient nextClient = new TestClient(server.address)) {
      assertEquals(200, nextClient.exchange(request("next")).status());
    }
    assertEquals(
        requests, upstream.requests.size(), String.join("\n", List.copyOf(upstream.requests)));
  }
}
