import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Once, peers connect that send the head of a request, with many short headers, and then stop in
 * the middle of the request and stay. Every request of a client has to get its final answer, also
 * while they are there and afterwards.
 */
final class StalledPeersCase {
  private static final int SECONDS = 20;
  private static final int PEERS_AT_MILLIS = 5_000;

  /** Under a third of the descriptors. */
  private static final int PEERS = 340;

  /** The size of the head that a peer sends, under the 8 KiB that are customary as the limit. */
  private static final int HEAD_BYTES = 8_000;

  private static final int ANNOUNCED_BODY_BYTES = 1_000;
  private static final int PEER_STAYS_MILLIS = 6_000;

  private final Record record;
  private final boolean trouble;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger neverAnswered = new AtomicInteger();
  private final AtomicInteger notTaken = new AtomicInteger();
  private final AtomicInteger peersAnswered = new AtomicInteger();
  private final AtomicInteger peersNotAnswered = new AtomicInteger();

  private StalledPeersCase(Runner.Run run) {
    record = run.record();
    trouble = run.trouble();
  }

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Runner.run(arguments, run -> new StalledPeersCase(run).play(run)));
  }

  private int play(Runner.Run run) throws Exception {
    SmallDeployment deployment = new SmallDeployment(run, this::serve);
    Balancer balancer = deployment.balancer();
    if (trouble) {
      Daemon.start("peers", () -> startPeers(balancer.port()));
    }
    deployment.play(SECONDS, this::check);
    boolean isAlive = balancer.isAlive();
    record.print(
        "clients: answered %d, never answered %d, found no connection or a closed one %d; peers:"
            + " got an error or a close %d, neither in %d ms %d; at the end the process runs: %s,"
            + " answers /up: %s",
        answered.get(), neverAnswered.get(), notTaken.get(), peersAnswered.get(),
        PEER_STAYS_MILLIS, peersNotAnswered.get(), isAlive, balancer.answersReadiness());
    return neverAnswered.get() > 0 || !isAlive ? Runner.BROKEN : Runner.HELD;
  }

  private void serve(Upstream.Request request) throws IOException {
    Daemon.sleep(SmallDeployment.workMillis());
    request.answer("{\"for\":\"" + request.id() + "\"}");
    record.add("%s ran %s", request.upstream().name, request.id());
  }

  private void startPeers(int port) {
    Daemon.sleep(PEERS_AT_MILLIS);
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
      end = "nothing";
    } catch (IOException e) {
      end = "a reset";
    }
    (end.equals("nothing") ? peersNotAnswered : peersAnswered).incrementAndGet();
    record.add("peer: got %s after %.0f ms", end, (System.nanoTime() - start) / 1e6);
  }

  private void check(SmallDeployment.Sent sent, Client.Result result) {
    if (result.status() != 0) {
      answered.incrementAndGet();
    } else if (result.problem().startsWith("no answer")) {
      neverAnswered.incrementAndGet();
      record.add("BROKEN: %s of %s was never answered", sent.id(), sent.className());
    } else {
      notTaken.incrementAndGet();
    }
  }
}
