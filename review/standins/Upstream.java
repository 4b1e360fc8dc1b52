import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** An upstream: reads one request at a time on each connection and lets a handler answer it. */
final class Upstream implements AutoCloseable {

  /** Answers a request. It may write nothing, and may return late. */
  interface Handler {
    void handle(Request request) throws IOException;
  }

  /** A request that has arrived whole. */
  record Request(
      Upstream upstream, HttpStream.Message message, Socket socket, OutputStream out) {
    String id() {
      return message.headers().getOrDefault("x-correlation-id", "");
    }

    /** Writes an answer 200 in one piece. */
    void answer(String body) throws IOException {
      answer(body.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes an answer 200 with no length, then ends the connection in order. */
    void answerWithoutLength(String body) throws IOException {
      byte[] answer =
          ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
              .getBytes(StandardCharsets.UTF_8);
      synchronized (socket) {
        out.write(answer);
        socket.shutdownOutput();
      }
    }

    void answer(byte[] body) throws IOException {
      byte[] head =
          ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes();
      byte[] answer = new byte[head.length + body.length];
      System.arraycopy(head, 0, answer, 0, head.length);
      System.arraycopy(body, 0, answer, head.length, body.length);
      synchronized (socket) {
        out.write(answer);
      }
    }
  }

  final String name;
  final String zone;
  private final Handler handler;
  private final int idleMillis;
  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  Upstream(String name, String zone, int idleMillis, Handler handler) throws IOException {
    this.name = name;
    this.zone = zone;
    this.handler = handler;
    this.idleMillis = idleMillis;
    server = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
    Daemon.start(name, this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Its entry in the endpoint list. */
  String entry() {
    return Discovery.entry(name, address(), zone, 0, "in_service");
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = server.accept();
      sockets.add(socket);
      Daemon.start(name + "-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      HttpStream in = new HttpStream(socket.getInputStream());
      while (true) {
        socket.setSoTimeout(idleMillis);
        if (!in.awaitMessage()) {
          return;
        }
        socket.setSoTimeout(0);
        HttpStream.Message message = in.read();
        handler.handle(new Request(this, message, socket, socket.getOutputStream()));
      }
    } catch (SocketTimeoutException idle) {
      // The connection has been idle for the time in the settings.
    } finally {
      sockets.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
