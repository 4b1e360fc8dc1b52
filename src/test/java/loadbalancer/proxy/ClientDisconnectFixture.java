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
 * Base class of tests in which clients disconnect. Runs a {@link TestDownstreamServer} on an event
 * loop that a test can block, so that input and a disconnect accumulate unread.
 */
abstract class ClientDisconnectFixture {

  /** The deadline of the request class. No passing test takes so long that a request times out. */
  static final long TIME_LEFT_MILLIS = 20_000;

  /** Serves all connections of the server. */
  final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

  /** The client disconnects and completed attempts that the policy received, in order. */
  final BlockingQueue<Event> disconnectAndAttemptEvents = new LinkedBlockingQueue<>();

  /** The ids of the requests that the policy received, in order of arrival. */
  final BlockingQueue<String> receivedRequestIds = new LinkedBlockingQueue<>();

  /** Runs on the event loop before the policy handles each new request. */
  volatile Runnable beforeRequest = () -> {};

  /** Starts a server whose policy cancels the attempts of disconnected clients. */
  TestDownstreamServer start(FakeHttpServer... upstreams) throws Exception {
    return start(true, upstreams);
  }

  /**
   * Starts a server with a latency objective so long that the policy queues requests and does not
   * reject them: a rejected request is never forwarded, with or without a disconnect.
   *
   * @param cancels whether the policy cancels the attempts of disconnected clients
   */
  TestDownstreamServer start(boolean cancels, FakeHttpServer... upstreams) throws Exception {
    return new TestDownstreamServer(
        loop,
        event -> {
          if (event instanceof ClientDisconnected || event instanceof AttemptCompleted) {
            disconnectAndAttemptEvents.add(event);
          } else if (event instanceof RequestArrived arrived) {
            beforeRequest.run();
            receivedRequestIds.add(arrived.requestId());
          }
        },
        configuration ->
            configuration
                .replace("\"cancel\":true", "\"cancel\":" + cancels)
                .replace("\"aim-ns\":2000000000", "\"aim-ns\":200000000000"),
        upstreams);
  }

  /** Stops the event loop, and with it the server. */
  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Returns a request of an idempotent class that does not time out during a test. */
  static String request(String id) {
    return TestClient.idempotentRequest(id, TIME_LEFT_MILLIS, "");
  }

  /** Blocks the event loop until the returned latch is counted down. */
  CountDownLatch blockLoop() throws InterruptedException {
    CountDownLatch releaseLoop = new CountDownLatch(1);
    TestProxy.block(loop, releaseLoop);
    return releaseLoop;
  }

  /**
   * Asserts that another client is served, and that the upstream has then received exactly the
   * given number of requests: an attempt for the disconnected client would be one too many.
   */
  void assertNextClientIsServed(TestDownstreamServer server, FakeHttpServer upstream, int requests)
      throws Exception {
    try (TestClient nextClient = new TestClient(server.address)) {
      assertEquals(200, nextClient.exchange(request("next")).status());
    }
    assertEquals(
        requests, upstream.requests.size(), String.join("\n", List.copyOf(upstream.requests)));
  }
}
