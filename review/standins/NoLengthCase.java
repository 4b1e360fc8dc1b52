import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One balancer of four at the usual traffic. Some upstream answers have no length: they end with the
 * orderly end of their connection, after the whole body. At least half of them have to reach the
 * client.
 */
final class NoLengthCase {
  private static final int SECONDS = 40;
  private static final int REQUESTS_PER_SECOND = 70;
  private static final int KEYS = 1_000;

  /** One in so many answers has no length. */
  private static final int NO_LENGTH_ONE_IN = 20;

  private static final int MAX_WAIT_AFTER_DEADLINE_MILLIS = 550;

  private final Record record;
  private final boolean trouble;

  /** The bodies of the answers with no length, all of which were sent whole. */
  private final Set<String> bodiesWithoutLength = ConcurrentHashMap.newKeySet();

  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger forwarded = new AtomicInteger();

  private NoLengthCase(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  public static void main(String[] arguments) throws Exception {
    System.exit(
        Runner.run(
            arguments, run -> new NoLengthCase(run.record(), run.trouble()).play(run)));
  }

  private int play(Runner.Run run) throws Exception {
    List<Upstream> upstreams = new ArrayList<>();
    String[] zones = {"nasr-city", "smart-village", "new-capital", "alex-borg"};
    for (int i = 0; i < 12; i++) {
      Upstream upstream =
          new Upstream(
              String.format("s-%08x", 0x5be2a07c + i * 7919), zones[i % 4], 15_000, this::serve);
      upstreams.add(upstream);
      run.closeLater(upstream);
    }
    List<String> entries = upstreams.stream().map(Upstream::entry).toList();
    Discovery discovery = run.closeLater(new Discovery(record, entries));
    Balancer balancer = run.closeLater(run.newBalancer("n0"));
    List<String> classes =
        List.of(
            Settings.category("plan-approve", "deduplicated", "zone", 300, 1000, 1000, 8.0),
            Settings.category("repay-post", "at_most_once", "all", 300, 750, 5000, 3.0));
    balancer.start(discovery, 192, 1024, Settings.of(classes, 4, "nasr-city"));
    Client client = run.closeLater(new Client("127.0.0.1", balancer.port()));
    ExecutorService senders = Executors.newCachedThreadPool();
    Random random = new Random(1);
    long start = System.nanoTime();
    double atSeconds = 0;
    while (atSeconds < SECONDS) {
      atSeconds += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
      double waitMillis = atSeconds * 1e3 - (System.nanoTime() - start) / 1e6;
      if (waitMillis > 0) {
        Daemon.sleep(waitMillis);
      }
      senders.submit(() -> send(client));
    }
    senders.shutdown();
    senders.awaitTermination(5, TimeUnit.SECONDS);
    int withoutLength = bodiesWithoutLength.size();
    record.print(
        "answers of upstreams %d, with no length and whole %d, of these forwarded %d;"
            + " clients: served %d, other answers %d",
        answers.get(), withoutLength, forwarded.get(), served.get(), other.get());
    if (!balancer.isAlive() || served.get() < SECONDS * REQUESTS_PER_SECOND / 2) {
      return Runner.COULD_NOT_RUN;
    }
    return 2 * forwarded.get() < withoutLength ? Runner.BROKEN : Runner.HELD;
  }

  private void serve(Upstream.Request request) throws IOException {
    Daemon.sleep(ThreadLocalRandom.current().nextDouble(24, 69));
    String body =
        "{\"for\":\"" + request.id() + "\",\"by\":\"" + request.upstream().name + "\",\"n\":"
            + answers.incrementAndGet() + "}";
    record.add("%s ran %s", request.upstream().name, request.id());
    if (trouble && ThreadLocalRandom.current().nextInt(NO_LENGTH_ONE_IN) == 0) {
      bodiesWithoutLength.add(body);
      record.add("%s answers %s with no length", request.upstream().name, request.id());
      request.answerWithoutLength(body);
    } else {
      request.answer(body);
    }
  }

  private void send(Client client) {
    String id = Requests.newId();
    String key = String.format("%016x", ThreadLocalRandom.current().nextInt(KEYS));
    boolean isPlan = ThreadLocalRandom.current().nextInt(100) < 64;
    int timeLeftMillis = isPlan ? 480 : 360;
    byte[] body = ("{\"order\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
    byte[] request =
        isPlan
            ? Requests.keyedPost("plan-approve", id, key, timeLeftMillis, body)
            : Requests.post("repay-post", id, key, timeLeftMillis, body);
    Client.Result result =
        client.send(request, timeLeftMillis + MAX_WAIT_AFTER_DEADLINE_MILLIS);
    if (result.status() != 200) {
      other.incrementAndGet();
      record.add("client: %s got %d %s", id, result.status(), result.problem());
      return;
    }
    served.incrementAndGet();
    String answer = new String(result.body(), StandardCharsets.UTF_8);
    record.add("client: %s got 200 after %.1f ms", id, result.millis());
    if (bodiesWithoutLength.contains(answer)) {
      forwarded.incrementAndGet();
    }
  }
}
