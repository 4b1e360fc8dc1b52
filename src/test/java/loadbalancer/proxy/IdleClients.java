package loadbalancer.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients that each send one text on a connection of their own and then stay idle. */
public final class IdleClients implements Closeable {

  /** Sends nothing. */
  public static final String NO_BYTES = "";

  /** Sends a part of a request head. */
  public static final String PARTIAL_HEAD = "GET /look HTTP/1.1\r\nHost: h\r\n";

  /** Sends one complete readiness request. */
  public static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

  private static final long POLL_PERIOD_MILLIS = 5;

  /** One client: its socket and the rest of the text that it has not sent yet. */
  private static final class Client {
    private final SocketChannel socket = SocketChannel.open();
    private final ByteBuffer unsent;

    Client(InetSocketAddress address, String text) throws IOException {
      unsent = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
      socket.configureBlocking(false);
      socket.connect(address);
    }

    /** Sends what it can; whether the server has closed the connection. */
    boolean isClosedByServer(ByteBuffer scratch) throws IOException {
      try {
        if (!socket.isConnected() && !socket.finishConnect()) {
          return false;
        }
        socket.write(unsent);
        return socket.read(scratch.clear()) < 0;
      } catch (IOException e) {
        return true;
      }
    }
  }

  /** How many connections the server has closed. */
  public final AtomicInteger closedByServer = new AtomicInteger();

  private final Client[] clients;
  private final Thread thread;
  private volatile boolean closing;

  /**
   * Opens connections.
   *
   * @param count how many
   * @param reconnect whether a new connection replaces each that the server closes
   * @param texts sent in turn, one on each connection
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
                ByteBuffer scratch = ByteBuffer.allocate(1024);
                while (!closing) {
                  for (int i = 0; i < count; i++) {
                    if (clients[i] != null && clients[i].isClosedByServer(scratch)) {
                      clients[i].socket.close();
                      clients[i] = reconnect ? new Client(address, texts[i % texts.length]) : null;
                      closedByServer.incrementAndGet();
                    }
                  }
                  Thread.sleep(POLL_PERIOD_MILLIS);
                }
              } catch (IOException | InterruptedException e) {
                // Expected: the test has ended.
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
