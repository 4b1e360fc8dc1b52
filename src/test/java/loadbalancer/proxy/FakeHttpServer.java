package loadbalancer.proxy;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server on a loopback port that serves as an upstream or a discovery service in tests. */
public final class FakeHttpServer implements Closeable {

  /** Handles the requests that the server receives; called on one thread per connection. */
  public interface RequestHandler {

    /**
     * Handles one request. May leave it without a response or close the connection.
     *
     * @param request the request line, the headers and the body, with LF as the line break
     * @param connection the connection that the request was received on
     * @param output the connection's output
     */
    void handle(String request, Socket connection, OutputStream output) throws Exception;
  }

  /** Well below the time after which a watch without a heartbeat fails. */
  private static final long HEARTBEAT_MILLIS = 500;

  /** The text of each received request, one char for each byte, in the order of receipt. */
  public final List<String> requests = new CopyOnWriteArrayList<>();

  /** The accepted connections, in the order of acceptance; closed ones stay in the list. */
  public final List<Socket> connections = new CopyOnWriteArrayList<>();

  /** The number of connections on which reading has ended, by a close or an error. */
  public final AtomicInteger connectionsClosedByPeer = new AtomicInteger();

  /** Handles the requests; a test may replace it while the server runs. */
  public volatile RequestHandler requestHandler;

  private final ServerSocket listener;

  /** Starts a server on a free loopback port. */
  public FakeHttpServer(RequestHandler requestHandler) throws IOException {
    this.requestHandler = requestHandler;
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startDaemon(
        () -> {
          while (true) {
            Socket connection = listener.accept();
            connections.add(connection);
            startDaemon(() -> serve(connection));
          }
        });
  }

  /** Starts a server that answers every request with 200 and this body. */
  public static FakeHttpServer respondingWith(String body) throws IOException {
    return new FakeHttpServer((request, connection, output) -> write(output, okResponse(body)));
  }

  /**
   * Starts a discovery service that sends no list but keeps each watch alive by heartbeats, so that
   * it does not time out, however slow the machine is.
   */
  public static FakeHttpServer keepingWatchesAlive() throws IOException {
    return new FakeHttpServer(
        (request, connection, output) -> {
          write(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          sendHeartbeats(connection, output);
        });
  }

  /** Sends heartbeats in a chunked response to a watch until the connection is closed. */
  public static void sendHeartbeats(Socket connection, OutputStream output) throws Exception {
    while (!connection.isClosed()) {
      write(output, "1\r\n\n\r\n");
      Thread.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** The text of a 200 response with this body, which must be ASCII. */
  public static String okResponse(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Writes a text as UTF-8 and flushes the output. */
  public static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private interface ThrowingTask {
    void run() throws Exception;
  }

  private static void startDaemon(ThrowingTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // Expected: the test closed this server, or the peer closed its connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection) throws Exception {
    BufferedReader input =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
    try {
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        StringBuilder request = new StringBuilder();
        int bodyLength = 0;
        for (; line != null && !line.isEmpty(); line = input.readLine()) {
          request.append(line).append('\n');
          if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
            bodyLength = Integer.parseInt(line.substring("content-length:".length()).trim());
          }
        }
        request.append('\n');
        for (int i = 0; i < bodyLength; i++) {
          request.append((char) input.read());
        }
        requests.add(request.toString());
        requestHandler.handle(request.toString(), connection, connection.getOutputStream());
      }
    } finally {
      connectionsClosedByPeer.incrementAndGet();
    }
  }

  /** The address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
