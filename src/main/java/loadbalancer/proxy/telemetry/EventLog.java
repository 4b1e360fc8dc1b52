package loadbalancer.proxy.telemetry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The balancer's log on standard error: one line for each event, as {@code LEVEL component: event
 * key=value ...}. May be called on any thread.
 */
public final class EventLog {

  /** Limits what a flood of events caused by peers costs in CPU time and log volume. */
  private static final int MAX_RATE_LIMITED_PER_SECOND = 5;

  private static final AtomicLong CURRENT_SECOND = new AtomicLong();
  private static final AtomicInteger RATE_LIMITED_IN_SECOND = new AtomicInteger();

  private enum Level {
    INFO,
    WARN,
    ERROR
  }

  private EventLog() {}

  /** Logs an event of normal operation; line breaks in the text become spaces. */
  public static void info(String text) {
    write(Level.INFO, text);
  }

  /** Logs an event that an operator may have to look into. */
  public static void warn(String text) {
    write(Level.WARN, text);
  }

  /** Logs a defect, which the process does not survive or recovers from by giving up requests. */
  public static void error(String text) {
    write(Level.ERROR, text);
  }

  /**
   * Logs an event of normal operation that peers can cause at any rate: leaves the line out where
   * this second has had five rate-limited lines already, of any level.
   */
  public static void infoRateLimited(String text) {
    writeRateLimited(Level.INFO, text);
  }

  /** Logs a warning that peers can cause at any rate, limited as {@link #infoRateLimited} is. */
  public static void warnRateLimited(String text) {
    writeRateLimited(Level.WARN, text);
  }

  private static void writeRateLimited(Level level, String text) {
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (CURRENT_SECOND.getAndSet(second) != second) {
      RATE_LIMITED_IN_SECOND.set(0);
    }
    if (RATE_LIMITED_IN_SECOND.incrementAndGet() <= MAX_RATE_LIMITED_PER_SECOND) {
      write(level, text);
    }
  }

  private static void write(Level level, String text) {
    System.err.println(level + " " + text.replace('\n', ' ').replace('\r', ' '));
  }
}
