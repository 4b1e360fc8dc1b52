package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers of the upstreams come in two pieces, of which the first ends inside the head. Each
 * client that keeps its connection must get a final answer within half a second after its time.
 */
public final class Pieces {

  private static final int SOCKETS = 1_024;

  /** Under a third of the descriptors. */
  private static final int CLIENTS = 330;

  private static final int ROUNDS = 8;
  private static final int ROUND_MILLIS = 2_000;
  private static final int SERVERS = 200;
  private static final int DEADLINE_MILLIS = 4_000;

  /** The time that an upstream takes for a request, or that passes between the two pieces. */
  private static final int WORK_MILLIS = 250;

  private static final int FIRST_PIECE_BYTES = 30;

  /** The longest body is 65,536 bytes long. */
  private static final int BODY_BYTES = 60_000;

  /** Half a second after its time a request is lost; each time limit is 50 ms longer on sockets. */
  private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 500 + 50;

  /** How long a client waits for an answer before its request counts as never answered. */
  private static final int PATIENCE_MILLIS = 8_000;

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger NEVER = new AtomicInteger();
  private static final AtomicInteger RAN_AND_LOST = new AtomicInteger();
  private static final Map<String, Boolean> RAN = new ConcurrentHashMap<>();
  private static final Map<String, AtomicInteger> OUTCOMES = new ConcurrentHashMap<>();

  private Pieces() {}

  public static void main(String[] args) {
    Lab.main(args, Pieces::run);
  }

  private static int run(Lab lab) throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      entries.add(new Upstream("s-" + i, (c, r) -> answer(lab, c, r)).entry("in_service"));
    }
    String list = Discovery.list(41, true, entries.toArray(new String[0]));
    Lab.Balancer balancer =
        lab.startBalancer(
            Discovery.ofList(list).address(),
            SOCKETS,
            list,
            Settings.of(
                true,
                Settings.category(
                    "attach-dump", "deduplicated", "all", 750, DEADLINE_MILLIS, 8000)));
    double firstRoundMillis = lab.millis() + 1_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Upstream.daemon(() -> client(lab, balancer, number, firstRoundMillis)));
    }
    for (Thread client : clients) {
      client.join();
    }
    lab.recordLog(balancer, 12);
    int lost = LATE.get() + NEVER.get();
    lab.report(
        "sent %d; never answered on a connection that stayed open for %d ms: %d; answered later than"
            + " %d ms: %d; of these %d, run by an upstream: %d; outcomes %s",
        SENT.get(), PATIENCE_MILLIS, NEVER.get(), LOST_AFTER_MILLIS, LATE.get(), lost,
        RAN_AND_LOST.get(), new TreeMap<>(OUTCOMES));
    if (SENT.get() < CLIENTS) {
      return Lab.COULD_NOT_RUN;
    }
    if (!balancer.process.isAlive()) {
      lab.report("the balancer has crashed");
      return Lab.BROKEN;
    }
    return lost > 0 ? Lab.BROKEN : Lab.HELD;
  }

  private static void answer(Lab lab, Upstream.Connection connection, Upstream.Request request)
      throws IOException {
    RAN.put(request.id, true);
    lab.record("runs %s", request.id);
    byte[] answer =
        ("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
                + BODY_BYTES
                + "\r\n\r\n"
                + request.id
                + "x".repeat(BODY_BYTES - request.id.length()))
            .getBytes(StandardCharsets.ISO_8859_1);
    int firstBytes = Lab.trouble() ? FIRST_PIECE_BYTES : 0;
    connection.socket.getOutputStream().write(answer, 0, firstBytes);
    Lab.sleep(WORK_MILLIS);
    connection.socket.getOutputStream().write(answer, firstBytes, answer.length - firstBytes);
  }

  private static void client(Lab lab, Lab.Balancer balancer, int number, double firstRoundMillis)
      throws Exception {
    Client connection = null;
    for (int round = 0; round < ROUNDS; round++) {
      double roundMillis = firstRoundMillis + round * ROUND_MILLIS;
      if (lab.millis() > roundMillis) {
        continue;
      }
      if (connection == null) {
        try {
          connection = new Client(balancer.address);
        } catch (IOException e) {
          count("no connection");
          continue;
        }
      }
      Lab.sleep((long) (roundMillis - lab.millis()));
      String id = "c" + number + "-" + round;
      Client.Answer answer;
      double sentMillis = lab.millis();
      try {
        connection.send(
            Client.request(
                "attach-dump", "/attach-dump", id, DEADLINE_MILLIS, "key-" + id, "dump " + id));
        SENT.incrementAndGet();
        answer = connection.readAnswer(PATIENCE_MILLIS);
      } catch (IOException e) {
        answer = Client.Answer.none(e.getMessage());
      }
      double elapsed = lab.millis() - sentMillis;
      boolean isNever = answer.problem.equals("no answer in time");
      boolean isLate = answer.status > 0 && elapsed > LOST_AFTER_MILLIS;
      NEVER.addAndGet(isNever ? 1 : 0);
      LATE.addAndGet(isLate ? 1 : 0);
      RAN_AND_LOST.addAndGet((isNever || isLate) && RAN.containsKey(id) ? 1 : 0);
      count(answer.status > 0 ? Integer.toString(answer.status) : answer.problem);
      lab.record(
          "%s -> %d %s after %.0f ms%s",
          id, answer.status, answer.problem, elapsed, isNever || isLate ? " LOST" : "");
      if (answer.closes) {
        connection.close();
        connection = null;
      }
    }
  }

  private static void count(String outcome) {
    OUTCOMES.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
  }
}
