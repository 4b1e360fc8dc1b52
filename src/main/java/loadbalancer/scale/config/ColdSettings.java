package loadbalancer.scale.config;

import java.util.List;

/**
 * The settings of the experiment "cold", which restarts one upstream of a service.
 *
 * @param balancerCounts the numbers of balancers to try, in increasing order
 * @param restarts the number of restarts for each number of balancers, each with its own seed
 * @param threads the number of restarts that are simulated at the same time
 * @param settlingSeconds the simulated time before the restart
 * @param drainMs the time between the upstream's notice that it drains and its end
 * @param downMs the time between the upstream's end and its start
 * @param notificationSpreadMs the longest delay of an endpoint list update; each balancer gets each
 *     update after a random delay up to this one
 * @param arrivals the traffic of the service
 * @param balancers the settings that all balancers share
 * @param upstreams the upstreams of the service
 */
public record ColdSettings(
    List<Integer> balancerCounts,
    int restarts,
    int threads,
    double settlingSeconds,
    double drainMs,
    double downMs,
    double notificationSpreadMs,
    ArrivalSettings arrivals,
    BalancerSettings balancers,
    UpstreamSettings upstreams) {

  private static final int MAX_BALANCERS = 50_000;
  private static final int MAX_RESTARTS = 1_000;
  private static final int MAX_THREADS = 64;
  private static final double MAX_SETTLING_SECONDS = 3_600;
  private static final double MAX_DURATION_MS = 600_000;

  /** Checks the fields. */
  public ColdSettings {
    FieldCheck.present("balancer-counts", balancerCounts);
    FieldCheck.present("arrivals", arrivals);
    FieldCheck.present("balancers", balancers);
    FieldCheck.present("upstreams", upstreams);
    balancerCounts = List.copyOf(balancerCounts);
    FieldCheck.inRange("balancer-counts: entries", 1, MAX_BALANCERS, balancerCounts.size());
    int minimum = balancers.zones();
    for (int count : balancerCounts) {
      FieldCheck.inRange("balancer-counts", minimum, MAX_BALANCERS, count);
      minimum = count + 1;
    }
    FieldCheck.inRange("restarts", 1, MAX_RESTARTS, restarts);
    FieldCheck.inRange("threads", 1, MAX_THREADS, threads);
    FieldCheck.inRange("settling-seconds", 1, MAX_SETTLING_SECONDS, settlingSeconds);
    FieldCheck.inRange("notification-spread-ms", 0, MAX_DURATION_MS, notificationSpreadMs);
    FieldCheck.inRange("drain-ms", notificationSpreadMs, MAX_DURATION_MS, drainMs);
    FieldCheck.inRange("down-ms", notificationSpreadMs, MAX_DURATION_MS, downMs);
  }
}
