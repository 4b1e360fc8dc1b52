package loadbalancer.scale.config;

/**
 * A population of which some members get more requests than others, by a Zipf distribution.
 *
 * @param count the number of members
 * @param exponent the exponent of the distribution; larger values concentrate the requests
 */
public record PopularitySettings(int count, double exponent) {

  private static final int MAX_COUNT = 10_000_000;
  private static final double MIN_EXPONENT = 0.01;
  private static final double MAX_EXPONENT = 10;

  /** Checks the fields. */
  public PopularitySettings {
    FieldCheck.inRange("count", 1, MAX_COUNT, count);
    FieldCheck.inRange("exponent", MIN_EXPONENT, MAX_EXPONENT, exponent);
  }
}
