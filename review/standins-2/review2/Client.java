package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One connection of a client. Sends one request at a time and reads its answer. */
final class Client implements AutoCloseable {

  /** An answer: its status (0 if the connection ended or the time was up), body and connection. */
  static final class Answer {
    final int status;
    final String body;
    final boolean closes;
    final String problem;

    Answer(int status, String body, boolean closes, String problem) {
      this.status = status;
      this.body = body;
      this.closes = closes;
      this.problem = problem;
    }

    static Answer none(String problem) {
      return new Answer(0, "", true, problem);
    }
  }

  private final Socket socket = new Socket();
  private final InputStream input;

  Client(InetSocketAddress address) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(address, 5_000);
    input = new BufferedInputStream(socket.getInputStream());
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads an answer with a Content-Length, for at most this time. */
  Answer readAnswer(int timeoutMillis) throws IOException {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    try {
      String head = Wire.readHead(input, () -> setTimeout(endNanos));
      if (head == null) {
        return Answer.none("closed");
      }
      int length = Integer.parseInt(Wire.header(head, "content-length", "0"));
      byte[] body = Wire.readBytes(input, length, () -> setTimeout(endNanos));
      if (body == null) {
        return Answer.none("closed inside the answer");
      }
      return new Answer(
          Integer.parseInt(head.split(" ")[1]),
          new String(body, StandardCharsets.ISO_8859_1),
          "close".equalsIgnoreCase(Wire.header(head, "connection", "")),
          "");
    } catch (SocketTimeoutException e) {
      return Answer.none("no answer in time");
    } catch (IOException e) {
      return Answer.none(e.getMessage());
    }
  }

  private void setTimeout(long endNanos) throws IOException {
    long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
    if (leftMillis <= 0) {
      throw new SocketTimeoutException();
    }
    socket.setSoTimeout((int) leftMillis);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** A request in the form of the protocol page. */
  static String request(
      String requestClass, String path, String id, long timeLeftMillis, String key, String body) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Service-Class: "
        + requestClass
        + "\r\nX-Time-Left-Ms: "
        + timeLeftMillis
        + "\r\n"
        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }
}
