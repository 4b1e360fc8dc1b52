package loadbalancer.proxy.telemetry;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import loadbalancer.policy.event.AttemptStatus;

/**
 * What a balancer did since its last report: a line of the log, to set a good stretch beside a bad
 * one.
 */
public final class TrafficCounters {

  private static final double MILLI = 1e6;

  /**
   * Upstreams named in a report: those with most attempts that were not served, if that many were
   * not.
   */
  private static final int WORST = 3;

  private static final int WORST_LEAST = 3;

  /**
   * Upstreams as far as their latencies differ: of the balancer's zone, of another one, just
   * started in either.
   */
  public enum Kind {
    NEAR,
    AWAY,
    COLD
  }

  private static final class Upstream {
    private int attempts;
    private int unserved;
  }

  private final Map<InetSocketAddress, Upstream> upstreams = new HashMap<>();
  private final int[] outcomes = new int[AttemptStatus.values().length];
  private int taken;
  private int refusedAtOnce;
  private int refusedLater;
  private int failed;
  private int left;
  private int stale;
  private long unsentNanos;
  private final int[] served = new int[Kind.values().length];
  private final long[] servedNanos = new long[Kind.values().length];
  private long timeoutNanos;
  private long lagNanos;

  public void taken() {
    taken++;
  }

  /** A refusal; at once where no attempt was made and no time passed first. */
  public void refused(boolean atOnce) {
    refusedAtOnce += atOnce ? 1 : 0;
    refusedLater += atOnce ? 0 : 1;
  }

  public void failed() {
    failed++;
  }

  /** The client left first. */
  public void left() {
    left++;
  }

  /**
   * An attempt ended; {@code unsent} passed from the decision to its first byte, {@code latency}
   * from there on.
   */
  public void ended(
      InetSocketAddress address,
      Kind kind,
      AttemptStatus status,
      boolean foundStale,
      long unsent,
      long latency) {
    Upstream upstream = upstreams.computeIfAbsent(address, a -> new Upstream());
    upstream.attempts++;
    upstream.unserved += status == AttemptStatus.SERVED ? 0 : 1;
    outcomes[status.ordinal()]++;
    stale += foundStale ? 1 : 0;
    unsentNanos += unsent;
    served[kind.ordinal()] += status == AttemptStatus.SERVED ? 1 : 0;
    servedNanos[kind.ordinal()] += status == AttemptStatus.SERVED ? latency : 0;
    timeoutNanos += status == AttemptStatus.TIMEOUT ? latency : 0;
  }

  public void lag(long nanos) {
    lagNanos = Math.max(lagNanos, nanos);
  }

  /** The line, after which all counts start again; null where nothing happened. */
  public String report() {
    int attempts = 0;
    int timeouts = outcomes[AttemptStatus.TIMEOUT.ordinal()];
    StringJoiner byStatus = new StringJoiner(" ");
    for (AttemptStatus s : AttemptStatus.values()) {
      attempts += outcomes[s.ordinal()];
      byStatus.add(s.name().toLowerCase(Locale.ROOT) + " " + outcomes[s.ordinal()]);
      outcomes[s.ordinal()] = 0;
    }
    String line =
        taken + attempts == 0
            ? null
            : String.format(
                Locale.ROOT,
                "taken %d, refused at once %d, refused later %d, failed %d, left %d; attempts: %s,"
                    + " stale %d; mean ms: to first byte %.1f, served%s, timed out %.1f; worst loop"
                    + " lag ms %.0f%s",
                taken,
                refusedAtOnce,
                refusedLater,
                failed,
                left,
                byStatus,
                stale,
                mean(unsentNanos, attempts),
                servedByKind(),
                mean(timeoutNanos, timeouts),
                lagNanos / MILLI,
                worst());
    upstreams.clear();
    taken = 0;
    refusedAtOnce = 0;
    refusedLater = 0;
    failed = 0;
    left = 0;
    stale = 0;
    unsentNanos = 0;
    Arrays.fill(served, 0);
    Arrays.fill(servedNanos, 0);
    timeoutNanos = 0;
    lagNanos = 0;
    return line;
  }

  private static double mean(long nanos, int count) {
    return nanos / MILLI / Math.max(1, count);
  }

  private String servedByKind() {
    StringJoiner text = new StringJoiner(",");
    for (Kind k : Kind.values()) {
      int count = served[k.ordinal()];
      text.add(
          String.format(
              Locale.ROOT,
              " %s %d %.1f",
              k.name().toLowerCase(Locale.ROOT),
              count,
              mean(servedNanos[k.ordinal()], count)));
    }
    return text.toString();
  }

  private String worst() {
    StringJoiner text = new StringJoiner(", ", "; not served: ", "").setEmptyValue("");
    upstreams.entrySet().stream()
        .filter(e -> e.getValue().unserved >= WORST_LEAST)
        .sorted(Comparator.comparingInt(e -> -e.getValue().unserved))
        .limit(WORST)
        .forEach(
            e ->
                text.add(
                    e.getValue().unserved + " of " + e.getValue().attempts + " at " + e.getKey()));
    return text.toString();
  }
}
