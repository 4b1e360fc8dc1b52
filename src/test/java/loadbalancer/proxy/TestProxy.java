package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.config.ProxyConfiguration;
import loadbalancer.proxy.lifecycle.ProxyServer;

/** A proxy server inside the test process, started with settings fit for tests. */
public final class TestProxy {

  private static final long WAIT_LIMIT_NANOS = 30_000_000_000L;

  /** The address that clients connect to. */
  public final InetSocketAddress address;

  /** The server itself. */
  final ProxyServer server;

  /** Starts a proxy that knows these upstreams and returns once it reports that it is ready. */
  public TestProxy(InetSocketAddress discovery, int maxAttempts, FakeHttpServer... upstreams)
      throws Exception {
    this(configurationJson(discovery, maxAttempts, upstreams));
  }

  /** Starts a proxy with this configuration and returns once it reports that it is ready. */
  public TestProxy(String configuration) throws Exception {
    JsonObjectReader fields = JsonObjectReader.parse("configuration", configuration);
    server =
        new ProxyServer(
            new ProxyConfiguration(
                "n0",
                fields.address("listen"),
                fields.address("discovery"),
                1,
                (int) fields.nested("limits").integer("sockets"),
                EndpointList.fromJson(fields.nested("known")),
                PolicySettingsReader.read(fields.nested("settings"))),
            () -> {});
    address = server.start();
    waitUntil(() -> readinessStatus() == 200);
  }

  private int readinessStatus() {
    try (TestClient client = new TestClient(address)) {
      return client.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status();
    } catch (java.io.IOException e) {
      return 0;
    }
  }

  /** The configuration of a proxy whose endpoint list names these upstreams s-0, s-1, ... */
  public static String configurationJson(
      InetSocketAddress discovery, int maxAttempts, FakeHttpServer... upstreams) {
    StringBuilder known = new StringBuilder();
    for (int i = 0; i < upstreams.length; i++) {
      known
          .append(i == 0 ? "" : ",")
          .append(endpointJson("s-" + i, upstreams[i].address(), "in_service"));
    }
    return """
{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"index":7,"snapshot":true,"endpoints":[%s]},
 "settings":{"categories":[
    {"name":"look","effect":"idempotent","aim-ns":2000000000,"deadline-ns":20000000000},
    {"name":"order","effect":"deduplicated","dedup-scope":"cell","window-ns":2000000000,
     "aim-ns":2000000000,"deadline-ns":20000000000}],
  "projects":[{"name":"acme","portion":1.0,"quota-per-s":1000.0}],"registry-mode":"on_request",
  "limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":2000000000,"max-attempts":%d,
   "connect-timeout-ns":5000000000,"conn-idle-ns":60000000000},
  "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000,"cold-from":0.3,
   "overload-for-ns":3000000000,"fall-multiple":3.0}}}
"""
        .formatted(hostAndPort(discovery), known, maxAttempts);
  }

  /** One entry of an endpoint list in the form of the discovery service. */
  public static String endpointJson(String name, InetSocketAddress address, String status) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\""
        + hostAndPort(address)
        + "\",\"zone\":\"a\",\"type\":\"t\",\"group\":1,"
        + "\"status\":\""
        + status
        + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  /** An address as the configuration writes it: ADDRESS:PORT. */
  static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** An address on which nothing listens. */
  public static InetSocketAddress unreachableAddress() {
    return new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 1);
  }

  /** Waits for a condition; fails the test after 30 s, which only a hang reaches. */
  public static void waitUntil(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + WAIT_LIMIT_NANOS;
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      Thread.sleep(5);
    }
    assertTrue(condition.getAsBoolean(), "the awaited condition did not hold in time");
  }

  /**
   * Blocks an event loop until the latch is released. Returns once the loop's thread has entered
   * the wait: a loop that is only about to enter it still reads what its sockets receive meanwhile.
   */
  static void block(Executor loop, CountDownLatch release) throws InterruptedException {
    CountDownLatch entered = new CountDownLatch(1);
    loop.execute(
        () -> {
          entered.countDown();
          awaitLatch(release);
        });
    assertTrue(
        entered.await(WAIT_LIMIT_NANOS, TimeUnit.NANOSECONDS), "the event loop did not block");
  }

  /** Waits for a latch, as a task that blocks an event loop does; an interrupt ends the wait. */
  static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
