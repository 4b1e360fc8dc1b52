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

/** A blocking client connection that sends arbitrary text and reads HTTP responses. */
public final class TestClient implements Closeable {

  private static final int TIMEOUT_MILLIS = 30_000;

  private final Socket socket = new Socket();
  private final DataInputStream input;

  /**
   * An HTTP response.
   *
   * @param status the status code
   * @param head the status line and headers, in lower case
   * @param body the body, decoded as UTF-8
   */
  public record Response(int status, String head, String body) {}

  /** Connects to a server; connecting and each read time out after 30 s. */
  public TestClient(InetSocketAddress address) throws IOException {
    socket.connect(address, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    input = new DataInputStream(socket.getInputStream());
  }

  /** Sends the text as it is, which need not be a valid request. */
  TestClient send(String text) throws IOException {
    return send(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends the bytes as they are, which need not be a valid request. */
  TestClient send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    return this;
  }

  /** Reads one response, which must have a Content-Length. */
  Response readResponse() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      head.append((char) input.readUnsignedByte());
    }
    String lowerCaseHead = head.toString().toLowerCase(Locale.ROOT);
    int lengthStart = lowerCaseHead.indexOf("content-length:") + "content-length:".length();
    int lengthEnd = lowerCaseHead.indexOf('\r', lengthStart);
    byte[] body =
        new byte[Integer.parseInt(lowerCaseHead.substring(lengthStart, lengthEnd).trim())];
    input.readFully(body);
    return new Response(
        Integer.parseInt(lowerCaseHead.substring(9, 12)),
        lowerCaseHead,
        new String(body, StandardCharsets.UTF_8));
  }

  /** Sends a request and reads one response. */
  public Response exchange(String request) throws IOException {
    return send(request).readResponse();
  }

  /**
   * Closes the connection and waits until the close has reached the server's socket. On a loaded
   * machine it may be delivered with a delay, so that an event loop that the test blocks and
   * releases could run before the close has arrived.
   *
   * @param reset whether to close by a TCP reset instead of a FIN after the sent data
   */
  void disconnect(boolean reset) throws IOException {
    // With a linger time above 0, close returns when the peer's kernel has acknowledged the FIN.
    socket.setSoLinger(true, reset ? 0 : TIMEOUT_MILLIS / 1_000);
    socket.close();
    if (reset) {
      awaitLoopbackDelivery();
    }
  }

  /**
   * Waits until a reset that was sent before has been delivered. A reset is not acknowledged, but
   * loopback delivers in order, so a later connect completes only after it.
   */
  private static void awaitLoopbackDelivery() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket later = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
      later.setTcpNoDelay(true);
    }
  }

  /** Half-closes the connection: sends a FIN, while responses can still be read. */
  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /**
   * Waits until the server closes this connection; returns false if it sends data or does neither
   * within 30 s.
   */
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
   * Returns a request of class "look", which is idempotent.
   *
   * @param id the correlation id
   * @param timeLeftMillis the time limit that the request announces, in milliseconds
   * @param moreHeaders further header lines, each terminated by CRLF
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

  /**
   * Returns a request with a body and an idempotency key, of class "order", which is deduplicated
   * within a cell.
   */
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
