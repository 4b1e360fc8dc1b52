import java.io.IOException;

/** Threads that end with the program. */
final class Daemon {
  /** Work that ends when its socket closes. */
  interface Work {
    void run() throws IOException;
  }

  private Daemon() {}

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (IOException closed) {
                // The other side closed the connection, or the run has ended.
              }
            },
            name,
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(double millis) {
    try {
      Thread.sleep((long) millis, (int) ((millis - (long) millis) * 1e6));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
