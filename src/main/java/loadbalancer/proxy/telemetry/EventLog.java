package loadbalancer.proxy.telemetry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The balancer's log on standard error: one line for each event, as {@code component: event
 * key=value ...}. May be called on any thread.
 */
public final class EventLog {

  /** Limits what a flood of events caused by peers costs in CPU time and log volume. */
  private static final int MAX_RATE_LIMITED_PER_SECOND = 5;

  private static final AtomicLong CURRENT_SECOND = new AtomicLong();
  private static final AtomicInteger RATE_LIMITED_IN_SECOND = new AtomicInteger();

  private EventLog() {}

  /**
   * Logs an event that peers can cause at any rate: leaves the line out where this second has had
   * five such lines already.
   */
  public static void infoRateLimited(String text) {
    long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (CURRENT_SECOND.getAndSet(second) != second) {
      RATE_LIMITED_IN_SECOND.set(0);
    }
    if (RATE_LIMITED_IN_SECOND.incrementAndGet() <= MAX_RATE_LIMITED_PER_SECOND) {
      info(text);
    }
  }

  /** Logs an event; line breaks in the text become spaces. */
  public static void info(String text) {
    System.err.println(text.replace('\n', ' ').replace('\r', ' '));
  }
}
