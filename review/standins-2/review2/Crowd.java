package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Peers fill the connections of a balancer: each gets an answer to GET /up, sends half of a request
 * and stays. Clients that connect then must still get a final answer within half a second after
 * their time, unless their connection is shut unread.
 */
public final class Crowd {

  private static final int SOCKETS = 256;
  private static final int PEERS = 200;
  private static final int CLIENTS = 5;
  private static final int TIME_LEFT_MILLIS = 500;

  /** Half a second after its time a request is lost; each time limit is 50 ms longer on sockets. */
  private static final int LOST_AFTER_MILLIS = TIME_LEFT_MILLIS + 500 + 50;

  private static final AtomicInteger LOST = new AtomicInteger();
  private static final AtomicInteger DONE = new AtomicInteger();

  private Crowd() {}

  public static void main(String[] args) {
    Lab.main(args, Crowd::run);
  }

  private static int run(Lab lab) throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int number = i;
      entries.add(
          new Upstream(
                  "s-" + i,
                  (connection, request) -> {
                    lab.record(
                        "s-%d runs %s, told X-Time-Left-Ms: %s",
                        number, request.id, Wire.header(request.head, "x-time-left-ms", "none"));
                    Lab.sleep(20);
                    connection.answer("200 OK", "", "answer to " + request.id);
                  })
              .entry("in_service"));
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
                    "file-report", "at_most_once", "all", 300, TIME_LEFT_MILLIS, 1000)));
    Lab.sleep(1_500);
    List<Thread> peers = new ArrayList<>();
    if (Lab.trouble()) {
      for (int i = 0; i < PEERS; i++) {
        int number = i;
        peers.add(Upstream.daemon(() -> peer(lab, balancer, number)));
        Lab.sleep(2);
      }
      Lab.sleep(100);
    }
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Upstream.daemon(() -> client(lab, balancer, number)));
      Lab.sleep(20);
    }
    for (Thread client : clients) {
      client.join();
    }
    for (Thread peer : peers) {
      peer.join();
    }
    lab.recordLog(balancer, 6);
    lab.report("clients %d, lost requests %d", DONE.get(), LOST.get());
    if (DONE.get() < CLIENTS || !balancer.process.isAlive()) {
      return Lab.COULD_NOT_RUN;
    }
    return LOST.get() > 0 ? Lab.BROKEN : Lab.HELD;
  }

  /** Asks whether the balancer is up, sends half of a request and waits for what comes. */
  private static void peer(Lab lab, Lab.Balancer balancer, int number) throws Exception {
    double connectedAt = lab.millis();
    try (Client connection = new Client(balancer.address)) {
      connection.send("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
      Client.Answer up = connection.readAnswer(6_000);
      connection.send("POST /file-report HTTP/1.1\r\nHost: app.svc\r\nX-Corr");
      Client.Answer answer = connection.readAnswer(6_000);
      lab.record(
          "peer %d: /up -> %d, half a request -> %d %s, %.0f ms after its connect",
          number, up.status, answer.status, answer.problem, lab.millis() - connectedAt);
    }
  }

  private static void client(Lab lab, Lab.Balancer balancer, int number) throws Exception {
    String id = "c-" + number;
    try (Client connection = new Client(balancer.address)) {
      connection.send(
          Client.request("file-report", "/file-report", id, TIME_LEFT_MILLIS, null, "pay " + id));
      double sentAt = lab.millis();
      lab.record("client %d: sent %s, X-Time-Left-Ms: %d", number, id, TIME_LEFT_MILLIS);
      Client.Answer answer = connection.readAnswer(8_000);
      double elapsed = lab.millis() - sentAt;
      // A connection that is shut unread takes nothing; the protocol lets the request fail then.
      boolean isShutUnread = answer.status == 0 && !answer.problem.equals("no answer in time");
      boolean isLost = !isShutUnread && elapsed > LOST_AFTER_MILLIS;
      lab.record(
          "client %d: %s -> %d '%s' %s after %.0f ms%s",
          number, id, answer.status, answer.body, answer.problem, elapsed, isLost ? " LOST" : "");
      if (isLost) {
        LOST.incrementAndGet();
      }
      DONE.incrementAndGet();
    }
  }
}
