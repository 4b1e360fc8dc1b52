import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some upstream answers are followed by a second copy some milliseconds later. Every 200 that a
 * client gets has to carry a body that an upstream made for that request.
 */
final class SecondAnswerCase {
  private static final int SECONDS = 40;

  /** One in so many answers is followed by a second one. */
  private static final int SPOILT_ONE_IN = 50;

  private static final double MIN_LATE_MILLIS = 2;
  private static final double MAX_LATE_MILLIS = 10;

  private final Record record;
  private final boolean trouble;

  /** The bodies that upstreams made, by the request that they made them for. */
  private final Map<String, Set<String>> bodiesById = new ConcurrentHashMap<>();

  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger secondAnswers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();

  private SecondAnswerCase(Runner.Run run) {
    record = run.record();
    trouble = run.trouble();
  }

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Runner.run(arguments, run -> new SecondAnswerCase(run).play(run)));
  }

  private int play(Runner.Run run) throws Exception {
    SmallDeployment deployment = new SmallDeployment(run, this::serve);
    deployment.play(SECONDS, this::check);
    record.print(
        "answers of upstreams %d, second answers %d; clients: served %d, other answers %d,"
            + " served with a body made for another request %d",
        answers.get(), secondAnswers.get(), served.get(), other.get(), foreign.get());
    if (served.get() < SECONDS * SmallDeployment.REQUESTS_PER_SECOND / 2) {
      return Runner.COULD_NOT_RUN;
    }
    return foreign.get() > 0 ? Runner.BROKEN : Runner.HELD;
  }

  private void serve(Upstream.Request request) throws IOException {
    Daemon.sleep(SmallDeployment.workMillis());
    String upstream = request.upstream().name;
    String body =
        "{\"for\":\"" + request.id() + "\",\"by\":\"" + upstream + "\",\"n\":"
            + answers.incrementAndGet() + "}";
    bodiesById.computeIfAbsent(request.id(), id -> ConcurrentHashMap.newKeySet()).add(body);
    record.add("%s ran %s", upstream, request.id());
    ThreadLocalRandom random = ThreadLocalRandom.current();
    boolean isSpoilt = trouble && random.nextInt(SPOILT_ONE_IN) == 0;
    request.answer(body);
    if (isSpoilt) {
      double lateMillis = random.nextDouble(MIN_LATE_MILLIS, MAX_LATE_MILLIS);
      Daemon.start("second-answer", () -> answerAgain(request, body, lateMillis));
    }
  }

  private void answerAgain(Upstream.Request request, String body, double lateMillis)
      throws IOException {
    Daemon.sleep(lateMillis);
    request.answer(body);
    secondAnswers.incrementAndGet();
    record.add(
        "%s answered %s again, %.1f ms late", request.upstream().name, request.id(), lateMillis);
  }

  private void check(SmallDeployment.Sent sent, Client.Result result) {
    if (result.status() != 200) {
      other.incrementAndGet();
      return;
    }
    served.incrementAndGet();
    String answer = new String(result.body(), StandardCharsets.UTF_8);
    if (!bodiesById.getOrDefault(sent.id(), Set.of()).contains(answer)) {
      foreign.incrementAndGet();
      record.add("BROKEN: %s of %s was served with %s", sent.id(), sent.className(), answer);
    }
  }
}
