import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The discovery agent of one balancer: serves the list and watches of it. */
final class Discovery implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 2_000;

  private final ServerSocket server;
  private final Record record;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<String> entries = new ArrayList<>();
  private long index = 41;

  Discovery(Record record, List<String> entries) throws IOException {
    this.record = record;
    this.entries.addAll(entries);
    server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    Daemon.start("discovery", this::acceptAll);
  }

  /** An entry of the list. */
  static String entry(String name, String address, String zone, int group, String status) {
    return String.format(
        "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"m2\",\"group\":%d,"
            + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0}",
        name, address, zone, group, status);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** The whole list. */
  synchronized String snapshot() {
    return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":["
        + String.join(",", entries) + "]}";
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = server.accept();
      sockets.add(socket);
      Daemon.start("discovery-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    HttpStream in = new HttpStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    HttpStream.Message request = in.read();
    if (request == null) {
      return;
    }
    record.add("discovery: %s", request.startLine());
    if (!request.startLine().contains("watch=1")) {
      byte[] body = snapshot().getBytes(StandardCharsets.UTF_8);
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
      out.write(body);
      return;
    }
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    chunk(out, snapshot() + "\n");
    while (true) {
      Daemon.sleep(HEARTBEAT_MILLIS);
      chunk(out, "\n");
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write(
        (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
