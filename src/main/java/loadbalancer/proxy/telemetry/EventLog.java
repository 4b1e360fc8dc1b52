package loadbalancer.proxy.telemetry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes the log to standard error, one line for each event: {@code LEVEL component: event
 * key=value ...}. May be called on any thread.
 */
public final class EventLog {

  /** Limits the CPU time and log volume that peers can cause by triggering events. */
  private static final int MAX_RATE_LIMITED_PER_SECOND = 5;

  private static final AtomicLong CURRENT_SECOND = new AtomicLong();
  private static final AtomicInteger RATE_LIMITED_LINES_IN_SECOND = new AtomicInteger();

  private enum Level {
    INFO,
    WARN,
    ERROR
  }

  private EventLog() {}

  /**
   * Logs an event of normal operation.
   *
   * @param text the line without its level; each line break character is replaced by a space, here
   *     and in the other methods
   */
  public static void info(String text) {
    write(Level.INFO, text);
  }

  /** Logs an event that an operator may have to investigate. */
  public static void warn(String text) {
    write(Level.WARN, text);
  }

  /** Logs a defect that terminates the process or makes it abandon requests. */
  public static void error(String text) {
    write(Level.ERROR, text);
  }

  /**
   * Logs an event of normal operation that peers can cause at any rate. The line is dropped if five
   * rate-limited lines, of any level, were written in the current second already.
   */
  public static void infoRateLimited(String text) {
    writeRateLimited(Level.INFO, text);
  }

  /**
   * Logs a warning that peers can cause at any rate, under the same limit as {@link
   * #infoRateLimited}.
   */
  public static void warnRateLimited(String text) {
    writeRateLimited(Level.WARN, text);
  }

  private static void writeRateLimited(Level level, String text) {
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (CURRENT_SECOND.getAndSet(second) != second) {
      RATE_LIMITED_LINES_IN_SECOND.set(0);
    }
    if (RATE_LIMITED_LINES_IN_SECOND.incrementAndGet() <= MAX_RATE_LIMITED_PER_SECOND) {
      write(level, text);
    }
  }

  private static void write(Level level, String text) {
    System.err.println(level + " " + text.replace('\n', ' ').replace('\r', ' '));
  }
}
