package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A peer sends requests whose query holds bytes above 0x7f as they are. Whatever reaches an
 * upstream must have the method, path and query that the peer sent.
 */
public final class ForeignForm {

  private static final int REQUESTS = 20;
  private static final int DEADLINE_MILLIS = 750;

  private static final Map<String, String> SENT = new ConcurrentHashMap<>();
  private static final AtomicInteger ARRIVED = new AtomicInteger();
  private static final AtomicInteger CHANGED = new AtomicInteger();

  private ForeignForm() {}

  public static void main(String[] args) {
    Lab.main(args, ForeignForm::run);
  }

  private static int run(Lab lab) throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      entries.add(upstream(lab, i).entry("in_service"));
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
    int answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "c-" + i;
      // "é" in UTF-8, as it is or percent-encoded. The client writes each char as one byte.
      String path = "/repay-post/7?city=Orl" + (Lab.trouble() ? "\u00c3\u00a9" : "%C3%A9") + "ans";
      SENT.put(id, "POST " + path + " HTTP/1.1");
      try (Client connection = new Client(balancer.address)) {
        connection.send(
            Client.request("repay-post", path, id, DEADLINE_MILLIS, null, "pay " + id));
        Client.Answer answer = connection.readAnswer(3_000);
        answered += answer.status > 0 ? 1 : 0;
        lab.record(
            "peer: %s, %s -> %d '%s'", id, hex(SENT.get(id)), answer.status, answer.body);
      }
    }
    lab.recordLog(balancer, 4);
    lab.report(
        "sent %d, answered %d, arrived at upstreams %d, of which in a form that nobody sent %d",
        REQUESTS, answered, ARRIVED.get(), CHANGED.get());
    if (answered < REQUESTS || !balancer.process.isAlive()) {
      return Lab.COULD_NOT_RUN;
    }
    return CHANGED.get() > 0 ? Lab.BROKEN : Lab.HELD;
  }

  /** An upstream that answers 400 to a request that nobody sent in this form. */
  private static Upstream upstream(Lab lab, int number) throws IOException {
    return new Upstream(
        "s-" + number,
        (connection, request) -> {
          ARRIVED.incrementAndGet();
          boolean isChanged = !request.line.equals(SENT.get(request.id));
          lab.record(
              "s-%d got %s, %s%s", number, request.id, hex(request.line), isChanged ? " CHANGED" : "");
          if (isChanged) {
            CHANGED.incrementAndGet();
            connection.answer("400 Bad Request", "", "nobody sent this");
          } else {
            connection.answer("200 OK", "", "answer to " + request.id);
          }
        });
  }

  /** Replaces each byte that is not printable ASCII by its number. */
  private static String hex(String text) {
    StringBuilder printable = new StringBuilder();
    for (char c : text.toCharArray()) {
      printable.append(c > 32 && c < 127 || c == ' ' ? "" + c : String.format("<%02x>", (int) c));
    }
    return printable.toString();
  }
}
