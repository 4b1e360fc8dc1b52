package loadbalancer.scale.config;

import java.util.List;

/**
 * The sizes of the series of the experiment "change". Each point is a run without events but one
 * burst, which the series against the number of balancers has.
 *
 * @param balancers the numbers of balancers
 * @param changesPerSecond the rates of changed entries
 * @param rateBalancers the number of balancers in the series against the rate
 * @param listEntries the numbers of entries for which the application of a message is measured
 * @param durationSeconds the simulated time of a point
 * @param burstEntries the number of entries of the burst
 */
public record SeriesSettings(
    List<Integer> balancers,
    List<Double> changesPerSecond,
    int rateBalancers,
    List<Integer> listEntries,
    double durationSeconds,
    int burstEntries) {

  /** Checks the ranges of the settings. */
  public SeriesSettings {
    balancers = balancers == null ? List.of() : List.copyOf(balancers);
    changesPerSecond = changesPerSecond == null ? List.of() : List.copyOf(changesPerSecond);
    listEntries = listEntries == null ? List.of() : List.copyOf(listEntries);
    listEntries.forEach(count -> FieldCheck.aboveZero("list-entries", count));
    balancers.forEach(count -> FieldCheck.aboveZero("balancers", count));
    changesPerSecond.forEach(rate -> FieldCheck.aboveZero("changes-per-second", rate));
    FieldCheck.aboveZero("rate-balancers", rateBalancers);
    FieldCheck.aboveZero("duration-seconds", durationSeconds);
    FieldCheck.atLeast("burst-entries", 0, burstEntries);
  }
}
