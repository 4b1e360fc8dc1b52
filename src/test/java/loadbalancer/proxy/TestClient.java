package loadbalancer.proxy;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One client connection that writes any bytes and reads HTTP responses. */
public final class TestClient implements Closeable {

  private static final int TIMEOUT_MILLIS = 30_000;

  private final Socket socket = new Socket();
  private final DataInputStream input;

  /** A response: its status, its head in lower case, and its body. */
  public record Response(int status, String head, String body) {}

  /** Connects to a server. */
  public TestClient(InetSocketAddress address) throws IOException {
    socket.connect(address, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    input = new DataInputStream(socket.getInputStream());
  }

  /** Writes any text. */
  TestClient send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Reads one response with a Content-Length; times out after 30 s. */
  Response readResponse() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      head.append((char) input.readUnsignedByte());
    }
    String lower = head.toString().toLowerCase(Locale.ROOT);
    int lengthStart = lower.indexOf("content-length:") + "content-length:".length();
    int lengthEnd = lower.indexOf('\r', lengthStart);
    byte[] body = new byte[Integer.parseInt(lower.substring(lengthStart, lengthEnd).trim())];
    input.readFully(body);
    return new Response(
        Integer.parseInt(lower.substring(9, 12)), lower, new String(body, StandardCharsets.UTF_8));
  }

  /** Writes a request and reads the response to it. */
  public Response exchange(String request) throws IOException {
    return send(request).readResponse();
  }

  /**
   * Ends the connection, by a TCP reset or by a FIN behind the sent data. Returns once the end has
   * reached the peer's socket: on a loaded machine it may be delivered later than it is sent, and
   * an event loop that the test blocks and releases would run ahead of it.
   */
  void disconnect(boolean reset) throws IOException {
    // A lingering close returns once the peer's kernel has acknowledged the FIN.
    socket.setSoLinger(true, reset ? 0 : TIMEOUT_MILLIS / 1_000);
    socket.close();
    if (reset) {
      awaitLoopbackDelivery();
    }
  }

  /** A reset is not acknowledged, but loopback delivers in order: a later connect follows it. */
  private static void awaitLoopbackDelivery() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket later = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
      later.setTcpNoDelay(true);
    }
  }

  /** Closes the sending half of the connection only: a response could still be read. */
  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Waits until the server closes this connection; false if it sends data or stays silent. */
  boolean isClosedByServer() {
    try {
      return input.read() < 0;
    } catch (IOException e) {
      return !(e instanceof java.net.SocketTimeoutException);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /**
   * A request of the idempotent class "look".
   *
   * @param moreHeaders further header lines, each ended by CRLF
   */
  public static String idempotentRequest(String id, long timeLeftMillis, String moreHeaders) {
    return "GET /look/a?b=c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Service-Class: look\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: "
        + timeLeftMillis
        + "\r\n"
        + moreHeaders
        + "\r\n";
  }

  /** A request of class "order" (with an idempotency key, deduplicated in a cell) with a body. */
  static String keyedRequest(String id, long timeLeftMillis) {
    return "POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Service-Class: order\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: "
        + timeLeftMillis
        + "\r\nIdempotency-Key: once-"
        + id
        + "\r\nContent-Length: 4\r\n\r\nbody";
  }
}
