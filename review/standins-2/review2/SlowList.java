package review2;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is slow: its list arrives in pieces over five seconds, without a pause. The list names
 * a server that drains. Once the change counts as told, that server must get no new request.
 */
public final class SlowList {

  private static final int SERVERS = 12;
  private static final int LIST_MILLIS = 5_000;
  private static final int PIECE_MILLIS = 100;

  /** A change counts as told at the latest 6 s after discovery had it and could be reached. */
  private static final int TOLD_MILLIS = 6_000;

  /** The drain grace of the settings, and the 50 ms by which limits are longer on sockets. */
  private static final int GRACE_MILLIS = 500 + 50;

  private static final int RUN_MILLIS = 14_000;
  private static final int DEADLINE_MILLIS = 750;

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger LISTS = new AtomicInteger();
  private static final List<Double> AT_DRAINING = Collections.synchronizedList(new ArrayList<>());
  private static volatile double firstCallMillis;

  private SlowList() {}

  public static void main(String[] args) {
    Lab.main(args, SlowList::run);
  }

  private static int run(Lab lab) throws Exception {
    List<String> known = new ArrayList<>();
    List<String> current = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      int number = i;
      Upstream upstream =
          new Upstream(
              "s-" + i,
              (connection, request) -> {
                lab.record("s-%d runs %s", number, request.id);
                if (number == 0) {
                  AT_DRAINING.add(lab.millis());
                }
                connection.answer("200 OK", "", "answer to " + request.id);
              });
      known.add(upstream.entry("in_service"));
      current.add(upstream.entry(i == 0 ? "terminating" : "in_service"));
    }
    String list = Discovery.list(57, true, current.toArray(new String[0]));
    Discovery discovery =
        new Discovery(
            watch -> {
              if (firstCallMillis == 0) {
                firstCallMillis = lab.millis();
              }
              lab.record("discovery: %s", watch.requestLine);
              try {
                send(watch, list + "\n");
                LISTS.incrementAndGet();
                lab.record("discovery: the list has been sent to its end");
                watch.heartbeats();
              } catch (Exception e) {
                lab.record("discovery: the watch has ended: %s", e.getMessage());
              }
            });
    Lab.Balancer balancer =
        lab.startBalancer(
            discovery.address(),
            256,
            Discovery.list(41, true, known.toArray(new String[0])),
            Settings.of(
                true,
                Settings.category(
                    "repay-post", "at_most_once", "all", 300, DEADLINE_MILLIS, 1000)));
    try (Client connection = new Client(balancer.address)) {
      while (lab.millis() < firstCallMillis + RUN_MILLIS) {
        String id = "c-" + SENT.incrementAndGet();
        connection.send(
            Client.request("repay-post", "/repay-post", id, DEADLINE_MILLIS, null, "pay " + id));
        Client.Answer answer = connection.readAnswer(DEADLINE_MILLIS + 1_000);
        lab.record("client: %s -> %d '%s'", id, answer.status, answer.body);
        if (answer.status == 200) {
          SERVED.incrementAndGet();
        }
        Lab.sleep(20);
      }
    }
    lab.recordLog(balancer, 10);
    double toldMillis = firstCallMillis + TOLD_MILLIS;
    long late =
        AT_DRAINING.stream().filter(millis -> millis > toldMillis + GRACE_MILLIS).count();
    lab.report(
        "first call at %.0f ms, told at %.0f ms; sent %d, served %d; lists sent to their end %d;"
            + " requests at the draining server %d, of which after the grace %d",
        firstCallMillis, toldMillis, SENT.get(), SERVED.get(), LISTS.get(), AT_DRAINING.size(),
        late);
    if (SERVED.get() < 100 || !balancer.process.isAlive()) {
      return Lab.COULD_NOT_RUN;
    }
    return late > 0 ? Lab.BROKEN : Lab.HELD;
  }

  private static void send(Discovery.Watch watch, String list) throws Exception {
    if (!Lab.trouble()) {
      watch.write(list);
      return;
    }
    int pieces = LIST_MILLIS / PIECE_MILLIS;
    int size = (list.length() + pieces - 1) / pieces;
    for (int from = 0; from < list.length(); from += size) {
      Lab.sleep(PIECE_MILLIS);
      watch.write(list.substring(from, Math.min(list.length(), from + size)));
    }
  }
}
