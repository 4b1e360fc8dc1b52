import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One balancer of four at the usual traffic. Once, peers connect that send the head of a request,
 * with many short headers, and then stop in the middle of the request and stay. Every request of a
 * client has to get its final answer, also while they are there and afterwards.
 */
final class StalledPeersCase {
  private static final int SECONDS = 20;
  private static final int PEERS_AT_SECONDS = 5;
  private static final int REQUESTS_PER_SECOND = 70;
  private static final int KEYS = 1_000;
  private static final int SOCKETS = 1_024;

  /** Under a third of the descriptors. */
  private static final int PEERS = 340;

  /** The size of the head that a peer sends, under the 8 KiB that are customary as the limit. */
  private static final int HEAD_BYTES = 8_000;

  private static final int ANNOUNCED_BODY_BYTES = 1_000;
  private static final int PEER_STAYS_MILLIS = 6_000;
  private static final int MAX_WAIT_AFTER_DEADLINE_MILLIS = 550;

  private final Record record;
  private final boolean trouble;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger notTaken = new AtomicInteger();
  private final AtomicInteger peersAnswered = new AtomicInteger();
  private final AtomicInteger peersNot = new AtomicInteger();

  private StalledPeersCase(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  public static void main(String[] arguments) throws Exception {
    System.exit(
        Runner.run(
            arguments, run -> new StalledPeersCase(run.record(), run.trouble()).play(run)));
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
    balancer.start(discovery, 192, SOCKETS, Settings.of(classes, 4, "nasr-city"));
    Client client = run.closeLater(new Client("127.0.0.1", balancer.port()));
    ExecutorService senders = Executors.newCachedThreadPool();
    Random random = new Random(1);
    long start = System.nanoTime();
    double atSeconds = 0;
    boolean peersStarted = !trouble;
    while (atSeconds < SECONDS) {
      atSeconds += -Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND;
      double waitMillis = atSeconds * 1e3 - (System.nanoTime() - start) / 1e6;
      if (waitMillis > 0) {
        Daemon.sleep(waitMillis);
      }
      if (!peersStarted && atSeconds > PEERS_AT_SECONDS) {
        peersStarted = true;
        startPeers(balancer.port());
      }
      senders.submit(() -> send(client));
    }
    senders.shutdown();
    senders.awaitTermination(10, TimeUnit.SECONDS);
    boolean isAlive = balancer.isAlive();
    boolean isUp = balancer.answersReadiness();
    record.print(
        "clients: answered %d, never answered %d, never taken %d; peers: got an error or a close"
            + " %d, got neither in %d ms %d; at the end the process runs: %s, answers /up: %s",
        answered.get(), lost.get(), notTaken.get(), peersAnswered.get(), PEER_STAYS_MILLIS,
        peersNot.get(), isAlive, isUp);
    return lost.get() > 0 || !isAlive ? Runner.BROKEN : Runner.HELD;
  }

  private void serve(Upstream.Request request) throws IOException {
    Daemon.sleep(ThreadLocalRandom.current().nextDouble(24, 69));
    request.answer("{\"for\":\"" + request.id() + "\"}");
    record.add("%s ran %s", request.upstream().name, request.id());
  }

  private void startPeers(int port) {
    StringBuilder head =
        new StringBuilder(
            "POST /repay-post HTTP/1.1\r\nHost: app.svc\r\nContent-Length: "
                + ANNOUNCED_BODY_BYTES
                + "\r\n");
    while (head.length() < HEAD_BYTES) {
      head.append("a:b\r\n");
    }
    byte[] sent = head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    record.print("%d peers connect, send %d bytes each and stay", PEERS, sent.length);
    for (int i = 0; i < PEERS; i++) {
      Daemon.start("peer", () -> stay(port, sent));
    }
  }

  private void stay(int port, byte[] sent) {
    long start = System.nanoTime();
    String end;
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(sent);
      socket.setSoTimeout(PEER_STAYS_MILLIS);
      end = socket.getInputStream().read() < 0 ? "a close" : "an error";
    } catch (SocketTimeoutException e) {
      end = null;
    } catch (IOException e) {
      end = "a reset";
    }
    (end == null ? peersNot : peersAnswered).incrementAndGet();
    record.add(
        "peer: got %s after %.0f ms",
        end == null ? "nothing" : end, (System.nanoTime() - start) / 1e6);
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
    if (result.status() != 0) {
      answered.incrementAndGet();
      record.add("client: %s got %d after %.1f ms", id, result.status(), result.millis());
    } else if (result.problem().startsWith("connect")) {
      notTaken.incrementAndGet();
      record.add("client: %s was not taken: %s", id, result.problem());
    } else {
      lost.incrementAndGet();
      record.add("BROKEN: client: %s got no answer: %s", id, result.problem());
    }
  }
}
