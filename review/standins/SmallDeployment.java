import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * One balancer of four of a deployment like cairo-main, with its discovery agent, the 12 upstreams
 * in four zones and its share of the usual traffic.
 */
final class SmallDeployment {
  static final int REQUESTS_PER_SECOND = 70;

  /** "Up to half a second after its time it only earns nothing", and 50 ms on sockets. */
  private static final int MAX_WAIT_AFTER_DEADLINE_MILLIS = 550;

  private static final int MEMORY_MB = 192;
  private static final int SOCKETS = 1_024;
  private static final int UPSTREAMS = 12;
  private static final int IDLE_MILLIS = 15_000;
  private static final int KEYS = 1_000;
  private static final int PLAN_PERCENT = 64;
  private static final String[] ZONES = {"nasr-city", "smart-village", "new-capital", "alex-borg"};

  /** A client's request, as it was sent. */
  record Sent(String id, String className, int timeLeftMillis, byte[] bytes) {}

  private final Record record;
  private final Balancer balancer;
  private final Client client;

  /** Starts everything; returns once the balancer is ready. */
  SmallDeployment(Runner.Run run, Upstream.Handler handler) throws IOException {
    record = run.record();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      String name = String.format("s-%08x", 0x5be2a07c + i * 7919);
      Upstream upstream = new Upstream(name, ZONES[i % ZONES.length], IDLE_MILLIS, handler);
      entries.add(run.closeLater(upstream).entry());
    }
    Discovery discovery = run.closeLater(new Discovery(record, entries));
    balancer = run.closeLater(run.newBalancer("n0"));
    List<String> classes =
        List.of(
            Settings.category("plan-approve", "deduplicated", "zone", 300, 1000, 1000, 8.0),
            Settings.category("repay-post", "at_most_once", "all", 300, 750, 5000, 3.0));
    balancer.start(discovery, MEMORY_MB, SOCKETS, Settings.of(classes, ZONES.length, ZONES[0]));
    client = run.closeLater(new Client("127.0.0.1", balancer.port()));
  }

  Balancer balancer() {
    return balancer;
  }

  /** The time that an upstream works on a request. */
  static double workMillis() {
    return ThreadLocalRandom.current().nextDouble(24, 69);
  }

  /**
   * Sends requests for some time, at random moments, and waits for the last of their answers.
   *
   * @param results receives each request with its result, on any thread
   */
  void play(int seconds, BiConsumer<Sent, Client.Result> results) throws InterruptedException {
    ExecutorService senders = Executors.newCachedThreadPool();
    Random random = new Random(1);
    long start = System.nanoTime();
    double atSeconds = 0;
    while (atSeconds < seconds) {
      atSeconds += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
      double waitMillis = atSeconds * 1e3 - (System.nanoTime() - start) / 1e6;
      if (waitMillis > 0) {
        Daemon.sleep(waitMillis);
      }
      senders.submit(() -> send(results));
    }
    senders.shutdown();
    senders.awaitTermination(10, TimeUnit.SECONDS);
  }

  private void send(BiConsumer<Sent, Client.Result> results) {
    Sent sent = newRequest();
    record.add("client: sends %s of %s", sent.id(), sent.className());
    Client.Result result =
        client.send(sent.bytes(), sent.timeLeftMillis() + MAX_WAIT_AFTER_DEADLINE_MILLIS);
    record.add(
        "client: %s got %s after %.1f ms",
        sent.id(), result.status() == 0 ? result.problem() : result.status(), result.millis());
    results.accept(sent, result);
  }

  private static Sent newRequest() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String id = Requests.newId();
    String key = String.format("%016x", random.nextInt(KEYS));
    byte[] body = ("{\"order\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
    if (random.nextInt(100) < PLAN_PERCENT) {
      byte[] request = Requests.keyedPost("plan-approve", id, key, 480, body);
      return new Sent(id, "plan-approve", 480, request);
    }
    return new Sent(id, "repay-post", 360, Requests.post("repay-post", id, key, 360, body));
  }
}
