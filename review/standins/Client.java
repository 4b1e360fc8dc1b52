import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Clients of one balancer, which keep connections and open more when every one is busy. */
final class Client implements AutoCloseable {

  /** How a request ended; status 0 if no whole answer came, and then why. */
  record Result(int status, byte[] body, String problem, double millis) {}

  private record Connection(Socket socket, HttpStream in, OutputStream out) {}

  private final InetSocketAddress address;
  private final ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();

  Client(String host, int port) throws IOException {
    address = new InetSocketAddress(InetAddress.getByName(host), port);
  }

  /** Sends a request and waits for its answer, at most the given time after its last byte. */
  Result send(byte[] request, int waitMillis) {
    Connection kept = idle.pollFirst();
    if (kept != null) {
      Result result = exchange(kept, request, waitMillis);
      if (!"closed before the answer".equals(result.problem())) {
        return result;
      }
      // The close may have crossed the request: once more, on a new connection.
    }
    try {
      return exchange(connect(), request, waitMillis);
    } catch (IOException e) {
      return new Result(0, null, "connect: " + e.getMessage(), 0);
    }
  }

  private Connection connect() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address, 3_000);
    return new Connection(
        socket, new HttpStream(socket.getInputStream()), socket.getOutputStream());
  }

  private Result exchange(Connection connection, byte[] request, int waitMillis) {
    long start = System.nanoTime();
    int status = 0;
    String problem;
    byte[] body = null;
    try {
      connection.out().write(request);
      start = System.nanoTime();
      connection.socket().setSoTimeout(waitMillis);
      HttpStream.Message answer = connection.in().read();
      if (answer != null) {
        if (answer.closes()) {
          connection.socket().close();
        } else {
          idle.addFirst(connection);
        }
        return new Result(answer.status(), answer.body(), null, millisSince(start));
      }
      problem = "closed before the answer";
    } catch (SocketTimeoutException e) {
      problem = "no answer within " + waitMillis + " ms";
    } catch (IOException e) {
      problem = e.getMessage().contains("ended") ? "answer not whole" : "closed before the answer";
    }
    try {
      connection.socket().close();
    } catch (IOException e) {
      // It was closed already.
    }
    return new Result(status, body, problem, millisSince(start));
  }

  private static double millisSince(long start) {
    return (System.nanoTime() - start) / 1e6;
  }

  @Override
  public void close() throws IOException {
    for (Connection connection : idle) {
      connection.socket().close();
    }
  }
}
