package loadbalancer.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients that each send one thing and then rest, each on a connection of its own. */
public final class IdleClients implements Closeable {

  public static final String NOTHING = "";
  public static final String HALF_A_HEAD = "GET /look HTTP/1.1\r\nHost: h\r\n";
  public static final String ASKS_ONCE = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

  private static final long PERIOD_MILLIS = 5;

  /** One of them: its socket, and what of its text is still to be sent. */
  private static final class Client {
    private final SocketChannel socket = SocketChannel.open();
    private final ByteBuffer unsent;

    Client(InetSocketAddress address, String text) throws IOException {
      unsent = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
      socket.configureBlocking(false);
      socket.connect(address);
    }

    /** Whether it has been ended. */
    public boolean ended(ByteBuffer scratch) throws IOException {
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

  /** How many connections the balancer has ended. */
  public final AtomicInteger ended = new AtomicInteger();

  private final Client[] clients;
  private final Thread thread;
  private volatile boolean closing;

  /**
   * So many connections, the texts sent in turn, one on each; where they come back, each end is
   * another's start.
   */
  public IdleClients(InetSocketAddress address, int count, boolean comeBack, String... texts)
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
                    if (clients[i] != null && clients[i].ended(scratch)) {
                      clients[i].socket.close();
                      clients[i] = comeBack ? new Client(address, texts[i % texts.length]) : null;
                      ended.incrementAndGet();
                    }
                  }
                  Thread.sleep(PERIOD_MILLIS);
                }
              } catch (IOException | InterruptedException e) {
                // The test is over.
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
