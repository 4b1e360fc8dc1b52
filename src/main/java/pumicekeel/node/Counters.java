package pumicekeel.node;

import java.util.Locale;
import java.util.StringJoiner;
import pumicekeel.Balancer.Status;

/** What a balancer did since its last report: a line of the log now and then, to set a good stretch beside a bad one. */
final class Counters {

  private static final double MILLI = 1e6;

  private final int[] outcomes = new int[Status.values().length];
  private int taken;
  private int refusedAtOnce;
  private int refusedLater;
  private int failed;
  private int left;
  private int stale;
  private long unsentNanos;
  private long latencyNanos;
  private long lagNanos;

  void taken() {
    taken++;
  }

  /** A refusal; at once where no attempt was made and no time passed first. */
  void refused(boolean atOnce) {
    refusedAtOnce += atOnce ? 1 : 0;
    refusedLater += atOnce ? 0 : 1;
  }

  void failed() {
    failed++;
  }

  /** The client left first. */
  void left() {
    left++;
  }

  /** An attempt ended; {@code unsent} passed from the decision to its first byte, {@code latency} from there on. */
  void ended(Status status, boolean foundStale, long unsent, long latency) {
    outcomes[status.ordinal()]++;
    stale += foundStale ? 1 : 0;
    unsentNanos += unsent;
    latencyNanos += latency;
  }

  void lag(long nanos) {
    lagNanos = Math.max(lagNanos, nanos);
  }

  /** The line, after which all counts start again; null where nothing happened. */
  String report() {
    int attempts = 0;
    StringJoiner byStatus = new StringJoiner(" ");
    for (Status s : Status.values()) {
      attempts += outcomes[s.ordinal()];
      byStatus.add(s.name().toLowerCase(Locale.ROOT) + " " + outcomes[s.ordinal()]);
      outcomes[s.ordinal()] = 0;
    }
    String line = taken + attempts == 0 ? null : String.format(Locale.ROOT,
        "taken %d, refused at once %d, refused later %d, failed %d, left %d; attempts: %s, stale %d; "
            + "mean ms: to first byte %.1f, from there %.1f; worst loop lag ms %.0f",
        taken, refusedAtOnce, refusedLater, failed, left, byStatus, stale,
        unsentNanos / MILLI / Math.max(1, attempts), latencyNanos / MILLI / Math.max(1, attempts), lagNanos / MILLI);
    taken = 0;
    refusedAtOnce = 0;
    refusedLater = 0;
    failed = 0;
    left = 0;
    stale = 0;
    unsentNanos = 0;
    latencyNanos = 0;
    lagNanos = 0;
    return line;
  }
}
