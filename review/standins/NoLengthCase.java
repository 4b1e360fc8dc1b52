import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some upstream answers have no length: they end with the orderly end of their connection, after
 * the whole body. At least half of them have to reach a client.
 */
final class NoLengthCase {
  private static final int SECONDS = 40;

  /** One in so many answers has no length. */
  private static final int NO_LENGTH_ONE_IN = 20;

  private final Record record;
  private final boolean trouble;

  /** The bodies of the answers with no length, all of which were sent whole. */
  private final Set<String> bodiesWithoutLength = ConcurrentHashMap.newKeySet();

  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger forwarded = new AtomicInteger();

  private NoLengthCase(Runner.Run run) {
    record = run.record();
    trouble = run.trouble();
  }

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Runner.run(arguments, run -> new NoLengthCase(run).play(run)));
  }

  private int play(Runner.Run run) throws Exception {
    SmallDeployment deployment = new SmallDeployment(run, this::serve);
    deployment.play(SECONDS, this::check);
    int withoutLength = bodiesWithoutLength.size();
    record.print(
        "answers of upstreams %d, with no length and whole %d, of these forwarded %d;"
            + " clients: served %d, other answers %d",
        answers.get(), withoutLength, forwarded.get(), served.get(), other.get());
    if (served.get() < SECONDS * SmallDeployment.REQUESTS_PER_SECOND / 2) {
      return Runner.COULD_NOT_RUN;
    }
    return 2 * forwarded.get() < withoutLength ? Runner.BROKEN : Runner.HELD;
  }

  private void serve(Upstream.Request request) throws IOException {
    Daemon.sleep(SmallDeployment.workMillis());
    String upstream = request.upstream().name;
    String body =
        "{\"for\":\"" + request.id() + "\",\"by\":\"" + upstream + "\",\"n\":"
            + answers.incrementAndGet() + "}";
    boolean hasLength = !trouble || ThreadLocalRandom.current().nextInt(NO_LENGTH_ONE_IN) != 0;
    record.add(
        "%s ran %s and answers with %s length", upstream, request.id(), hasLength ? "a" : "no");
    if (hasLength) {
      request.answer(body);
    } else {
      bodiesWithoutLength.add(body);
      request.answerWithoutLength(body);
    }
  }

  private void check(SmallDeployment.Sent sent, Client.Result result) {
    if (result.status() != 200) {
      other.incrementAndGet();
      return;
    }
    served.incrementAndGet();
    if (bodiesWithoutLength.contains(new String(result.body(), StandardCharsets.UTF_8))) {
      forwarded.incrementAndGet();
    }
  }
}
