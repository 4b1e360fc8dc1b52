package loadbalancer.scale.model;

import java.util.Arrays;

/** The bytes that each balancer's machine receives. */
public final class BalancerTraffic {

  private final long[] totalBytes;
  private long totalMessages;
  private final long[] currentSecond;
  private final long[] currentBytes;
  private final long[] worstSecondBytes;

  /** Creates counters of a number of balancers. */
  BalancerTraffic(int balancers) {
    totalBytes = new long[balancers];
    currentSecond = new long[balancers];
    currentBytes = new long[balancers];
    worstSecondBytes = new long[balancers];
  }

  /** Counts the bytes of a message in the second of its arrival. */
  void add(int balancer, long bytes, long nowNanos) {
    long second = nowNanos / Durations.NANOS_PER_SECOND;
    if (second != currentSecond[balancer]) {
      currentSecond[balancer] = second;
      currentBytes[balancer] = 0;
    }
    totalBytes[balancer] += bytes;
    totalMessages++;
    currentBytes[balancer] += bytes;
    worstSecondBytes[balancer] = Math.max(worstSecondBytes[balancer], currentBytes[balancer]);
  }

  /** The mean number of bytes per balancer. */
  public double meanBytes() {
    return Arrays.stream(totalBytes).average().orElse(0);
  }

  /** The mean number of messages per balancer. */
  public double meanMessages() {
    return (double) totalMessages / totalBytes.length;
  }

  /** The largest number of bytes that a balancer received in a second. */
  public long worstSecondBytes() {
    return Arrays.stream(worstSecondBytes).max().orElse(0);
  }
}
