package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server of the fleet. Each connection has a thread, which handles one request at a time. */
final class Upstream {

  /** A request that has arrived with its last byte. */
  static final class Request {
    final String line;
    final String head;
    final String id;
    final String body;

    Request(String head, byte[] body) {
      this.head = head;
      line = head.substring(0, head.indexOf("\r\n"));
      id = Wire.header(head, "x-correlation-id", "");
      this.body = new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** One connection of a balancer. */
  static final class Connection {
    final Socket socket;

    Connection(Socket socket) {
      this.socket = socket;
    }

    /** Writes an answer with a Content-Length in one piece. */
    void answer(String status, String headers, String body) throws IOException {
      byte[] bytes =
          ("HTTP/1.1 "
                  + status
                  + "\r\n"
                  + headers
                  + "Content-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body)
              .getBytes(StandardCharsets.ISO_8859_1);
      synchronized (this) {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
      }
    }
  }

  /** What the server does with a request. */
  interface Handler {
    void handle(Connection connection, Request request) throws IOException;
  }

  final String name;
  private final ServerSocket listener;

  Upstream(String name, Handler handler) throws IOException {
    this.name = name;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            daemon(() -> serve(new Connection(socket), handler));
          }
        });
  }

  private static void serve(Connection connection, Handler handler) throws IOException {
    try (Socket socket = connection.socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String head = Wire.readHead(input, () -> {});
        if (head == null) {
          return;
        }
        int length = Integer.parseInt(Wire.header(head, "content-length", "0"));
        byte[] body = Wire.readBytes(input, length, () -> {});
        if (body == null) {
          return;
        }
        handler.handle(connection, new Request(head, body));
      }
    }
  }

  /** The server's entry in the list of discovery. */
  String entry(String status) {
    return entry(name, listener.getLocalPort(), status);
  }

  static String entry(String name, int port, String status) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"a\",\"type\":\"m2\",\"group\":0,\"status\":\""
        + status
        + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  /** Work of a thread. */
  interface Task {
    void run() throws Exception;
  }

  /** Starts a daemon thread; what ends it is of no interest. */
  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The connection has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
