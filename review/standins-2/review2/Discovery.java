package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The agent of discovery. What it does with a watch is set by the case. */
final class Discovery {

  /** One watch, whose answer has started. */
  static final class Watch {
    final String requestLine;
    final OutputStream output;

    Watch(String requestLine, OutputStream output) {
      this.requestLine = requestLine;
      this.output = output;
    }

    /** Writes a piece of the answer as a chunk of its own. */
    void write(String piece) throws IOException {
      output.write(
          (Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      output.flush();
    }

    /** Writes an empty line every 2 s until the connection ends. */
    void heartbeats() throws IOException {
      while (true) {
        Lab.sleep(2_000);
        write("\n");
      }
    }
  }

  /** What the agent does with a watch. */
  interface Handler {
    void handle(Watch watch) throws Exception;
  }

  private final ServerSocket listener;

  Discovery(Handler handler) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Upstream.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Upstream.daemon(() -> serve(socket, handler));
          }
        });
  }

  /** An agent that sends this list at once and nothing but heartbeats after it. */
  static Discovery ofList(String list) throws IOException {
    return new Discovery(
        watch -> {
          watch.write(list + "\n");
          watch.heartbeats();
        });
  }

  private static void serve(Socket accepted, Handler handler) throws Exception {
    try (Socket socket = accepted) {
      String head = Wire.readHead(new BufferedInputStream(socket.getInputStream()), () -> {});
      if (head != null) {
        OutputStream output = socket.getOutputStream();
        output.write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        output.flush();
        handler.handle(new Watch(head.substring(0, head.indexOf("\r\n")), output));
      }
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** A whole list or changes. */
  static String list(long index, boolean snapshot, String... entries) {
    return "{\"index\":"
        + index
        + ",\"snapshot\":"
        + snapshot
        + ",\"endpoints\":["
        + String.join(",", entries)
        + "]}";
  }
}
