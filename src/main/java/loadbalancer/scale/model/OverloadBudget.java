package loadbalancer.scale.model;

import java.util.List;
import loadbalancer.scale.config.UpstreamSettings;

/**
 * The number of attempts that a warming upstream withstands in each overload window: its capacity
 * at the start of the window, times the overload multiple.
 */
public final class OverloadBudget {

  private final UpstreamSettings settings;
  private final WarmUp warmUp;
  private final long windowNanos;

  /**
   * The load of the overload windows, each of which starts with an attempt.
   *
   * @param highestRatio the attempts of the fullest window, divided by its budget
   * @param exceeded the number of windows with more attempts than their budget
   * @param windows the number of windows
   */
  public record Usage(double highestRatio, int exceeded, int windows) {}

  /** Creates the budget of upstreams with these settings. */
  public OverloadBudget(UpstreamSettings settings) {
    this.settings = settings;
    warmUp = WarmUp.of(settings);
    windowNanos = Durations.millisToNanos(settings.overloadWindowMs());
  }

  /** The most attempts in a window that starts at this age of the upstream. */
  public double attemptsAllowed(long ageNanos) {
    return settings.overloadMultiple()
        * settings.capacityPerSecond()
        * warmUp.capacityFraction(ageNanos)
        * windowNanos
        / Durations.NANOS_PER_SECOND;
  }

  /**
   * Compares the windows that start during the warm-up with their budgets.
   *
   * @param ages the ages of the upstream at which attempts arrived, in order
   */
  public Usage usage(List<Long> ages) {
    double highestRatio = 0;
    int exceeded = 0;
    int windows = 0;
    int end = 0;
    while (windows < ages.size() && ages.get(windows) < warmUp.durationNanos()) {
      long startNanos = ages.get(windows);
      while (end < ages.size() && ages.get(end) < startNanos + windowNanos) {
        end++;
      }
      double ratio = (end - windows) / attemptsAllowed(startNanos);
      highestRatio = Math.max(highestRatio, ratio);
      exceeded += ratio > 1 ? 1 : 0;
      windows++;
    }
    return new Usage(highestRatio, exceeded, windows);
  }
}
