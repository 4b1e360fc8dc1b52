import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** The requests that clients send, as the protocol page words them. */
final class Requests {
  private Requests() {}

  /** A fresh correlation id or idempotency key. */
  static String newId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  /** A request of a class that is safe to repeat. */
  static byte[] get(String name, String id, String sessionKey, int timeLeftMillis) {
    return bytes("GET", name, id, sessionKey, timeLeftMillis, "", new byte[0]);
  }

  /** A request of a class that is unsafe to repeat. */
  static byte[] post(String name, String id, String sessionKey, int timeLeftMillis, byte[] body) {
    return bytes("POST", name, id, sessionKey, timeLeftMillis, "", body);
  }

  /** A request of a keyed class. */
  static byte[] keyedPost(
      String name, String id, String sessionKey, int timeLeftMillis, byte[] body) {
    String header = "Idempotency-Key: " + newId() + newId() + "\r\n";
    return bytes("POST", name, id, sessionKey, timeLeftMillis, header, body);
  }

  private static byte[] bytes(
      String method, String name, String id, String sessionKey, int timeLeftMillis,
      String headers, byte[] body) {
    String head =
        method + " /" + name + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
            + "\r\nX-Service-Class: " + name + "\r\nX-Session-Key: " + sessionKey
            + "\r\nX-Time-Left-Ms: " + timeLeftMillis + "\r\n" + headers
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }
}
