package loadbalancer.proxy;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client connection that writes any bytes and reads HTTP answers. */
public final class TestClient implements Closeable {

  private static final int GENEROUS_MILLIS = 30_000;

  private final Socket socket = new Socket();
  private final DataInputStream in;

  /** An answer: its status, its head in lower case, and its body. */
  public record Reply(int status, String head, String body) {}

  public TestClient(InetSocketAddress address) throws IOException {
    socket.connect(address, GENEROUS_MILLIS);
    socket.setSoTimeout(GENEROUS_MILLIS);
    in = new DataInputStream(socket.getInputStream());
  }

  TestClient send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  Reply read() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      head.append((char) in.readUnsignedByte());
    }
    String lower = head.toString().toLowerCase();
    int at = lower.indexOf("content-length:") + 15;
    byte[] body = new byte[Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).trim())];
    in.readFully(body);
    return new Reply(
        Integer.parseInt(lower.substring(9, 12)), lower, new String(body, StandardCharsets.UTF_8));
  }

  public Reply call(String text) throws IOException {
    return send(text).read();
  }

  /**
   * Ends the connection, by a reset or by an end behind what was sent. Waits until that lies in the
   * peer's socket: a busy machine may deliver later than it sends, and a loop that is stopped would
   * go on ahead of it.
   */
  void leave(boolean reset) throws IOException {
    // The close of one that lingers is over once the peer's side has taken its end, read or not.
    socket.setSoLinger(true, reset ? 0 : GENEROUS_MILLIS / 1_000);
    socket.close();
    if (reset) {
      passLoopback();
    }
  }

  /** A reset is not acknowledged, but what is sent behind it over loopback arrives behind it. */
  private static void passLoopback() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket behind = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
      behind.setTcpNoDelay(true);
    }
  }

  /** Ends its own half of the connection only: it could still read an answer. */
  void endOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Whether the node ends this connection. */
  boolean ended() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return !(e instanceof java.net.SocketTimeoutException);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** A request of class "look" (safe) with these further header lines, each ended by CRLF. */
  public static String look(String id, long leftMillis, String more) {
    return "GET /look/a?b=c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Service-Class: look\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: "
        + leftMillis
        + "\r\n"
        + more
        + "\r\n";
  }

  /** A request of class "order" (keyed, dropped within a cell) with a body. */
  static String order(String id, long leftMillis) {
    return "POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Service-Class: order\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: "
        + leftMillis
        + "\r\nIdempotency-Key: once-"
        + id
        + "\r\nContent-Length: 4\r\n\r\nbody";
  }
}
