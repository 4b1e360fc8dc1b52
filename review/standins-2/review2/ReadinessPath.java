package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A peer sends a POST of a request class to the path of the readiness check, which is no path of
 * that class. It must get an error or a close, and not an answer that says that its request ran.
 */
public final class ReadinessPath {

  private static final int REQUESTS = 10;
  private static final int DEADLINE_MILLIS = 750;
  private static final int OWED_MILLIS = 3_000;

  private ReadinessPath() {}

  public static void main(String[] args) {
    Lab.main(args, ReadinessPath::run);
  }

  private static int run(Lab lab) throws Exception {
    Map<String, Boolean> ran = new ConcurrentHashMap<>();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int number = i;
      entries.add(
          new Upstream(
                  "s-" + i,
                  (connection, request) -> {
                    lab.record("s-%d runs %s", number, request.id);
                    ran.put(request.id, true);
                    connection.answer("200 OK", "", "answer to " + request.id);
                  })
              .entry("in_service"));
    }
    String list = Discovery.list(41, true, entries.toArray(new String[0]));
    Lab.Balancer balancer =
        lab.startBalancer(
            Discovery.ofList(list).address(),
            256,
            list,
            Settings.of(
                true,
                Settings.category(
                    "repay-post", "at_most_once", "all", 300, DEADLINE_MILLIS, 1000)));
    String path = Lab.trouble() ? "/up" : "/repay-post";
    int answered = 0;
    int servedByNobody = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "c-" + i;
      try (Client connection = new Client(balancer.address)) {
        connection.send(
            Client.request("repay-post", path, id, DEADLINE_MILLIS, null, "pay " + id));
        Client.Answer answer = connection.readAnswer(OWED_MILLIS);
        boolean isServedByNobody = answer.status == 200 && !ran.containsKey(id);
        answered += answer.status > 0 || answer.problem.startsWith("closed") ? 1 : 0;
        servedByNobody += isServedByNobody ? 1 : 0;
        lab.record(
            "peer: POST %s %s -> %d '%s' %s%s",
            path, id, answer.status, answer.body, answer.problem,
            isServedByNobody ? " SERVED BY NOBODY" : "");
      }
    }
    lab.recordLog(balancer, 4);
    lab.report(
        "sent %d, answered or closed %d, run by an upstream %d, answered 200 without a run %d",
        REQUESTS, answered, ran.size(), servedByNobody);
    if (!balancer.process.isAlive() || (!Lab.trouble() && ran.isEmpty())) {
      return Lab.COULD_NOT_RUN;
    }
    return servedByNobody > 0 ? Lab.BROKEN : Lab.HELD;
  }
}
