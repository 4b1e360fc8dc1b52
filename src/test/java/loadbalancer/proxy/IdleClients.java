package loadbalancer.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many client connections that each send a fixed text once and then stay open without sending more.
 * A daemon thread polls all of them until {@link #close}.
 */
public final class IdleClients implements Closeable {

  /** The text of a client that sends nothing. */
  public static final String NO_BYTES = "";

  /** The text of a client that sends part of a request head. */
  public static final String PARTIAL_HEAD = "GET /look HTTP/1.1\r\nHost: h\r\n";

  /** The text of a client that sends one complete readiness request. */
  public static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

  private static final long POLL_PERIOD_MILLIS = 5;

  /** One client connection and the part of its text that has not been sent yet. */
  private static final class Client {
    private final SocketChannel socket = SocketChannel.open();
    private final ByteBuffer unsent;

    Client(InetSocketAddress address, String text) throws IOException {
      unsent = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
      socket.configureBlocking(false);
      socket.connect(address);
    }

    /** Sends and reads without blocking; returns whether the server has closed the connection. */
    boolean isClosedByServer(ByteBuffer readBuffer) throws IOException {
      try {
        if (!socket.isConnected() && !socket.finishConnect()) {
          return false;
        }
        socket.write(unsent);
        return socket.read(readBuffer.clear()) < 0;
      } catch (IOException e) {
        return true;
      }
    }
  }

  /** The number of connections that the server has closed, reset or refused. */
  public final AtomicInteger closedByServer = new AtomicInteger();

  private final Client[] clients;
  private final Thread thread;
  private volatile boolean closing;

  /**
   * Starts to connect.
   *
   * @param address the address of the server
   * @param count the number of connections
   * @param reconnect whether to replace each connection that the server closes by a new one
   * @param texts the texts to send; connection i sends text i modulo their number
   * @throws IOException if a socket cannot be created
   */
  public IdleClients(InetSocketAddress address, int count, boolean reconnect, String... texts)
      throws IOException {
    clients = new Client[count];
    for (int i = 0; i < count; i++) {
      clients[i] = new Client(address, texts[i % texts.length]);
    }
    thread =
        new Thread(
            () -> {
              try {
                ByteBuffer readBuffer = ByteBuffer.allocate(1024);
                while (!closing) {
                  for (int i = 0; i < count; i++) {
                    if (clients[i] != null && clients[i].isClosedByServer(readBuffer)) {
                      clients[i].socket.close();
                      clients[i] = reconnect ? new Client(address, texts[i % texts.length]) : null;
                      closedByServer.incrementAndGet();
                    }
                  }
                  Thread.sleep(POLL_PERIOD_MILLIS);
                }
              } catch (IOException | InterruptedException e) {
                // Expected when the sockets are closed at the end of a test.
              }
            },
            "idle clients");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closing = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Client client : clients) {
      if (client != null) {
        client.socket.close();
      }
    }
  }
}
