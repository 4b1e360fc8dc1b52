package loadbalancer.scale.model;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.scale.config.ArrivalSettings;
import loadbalancer.scale.config.PopularitySettings;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;

/**
 * The arrival of requests as a Poisson process with bursts. Keys, routes and tenants of the
 * requests are drawn from Zipf distributions, independently of each other.
 */
public final class RequestArrivals {

  private final Simulation simulation;
  private final ArrivalSettings settings;
  private final double normalRatePerNano;
  private final SplittableRandom random;
  private final ZipfDistribution keys;
  private final ZipfDistribution routes;
  private final ZipfDistribution tenants;
  private final Consumer<Arrival> receiver;
  private boolean isBurst;
  private boolean isStopped;

  /** Counts the changes between normal traffic and burst, to recognize outdated arrivals. */
  private long rateChanges;

  /**
   * The content of a request; each field is an index from 0, in decreasing order of popularity.
   *
   * @param key the affinity key
   * @param route the route
   * @param tenant the tenant
   */
  public record Arrival(int key, int route, int tenant) {}

  /**
   * Creates the arrivals, which do not begin before {@link #start}.
   *
   * @param upstreams the number of upstreams, to which the rate is proportional
   * @param seed determines the times and contents of all requests
   * @param receiver receives each request at its time
   */
  public RequestArrivals(
      Simulation simulation,
      ArrivalSettings settings,
      int upstreams,
      long seed,
      Consumer<Arrival> receiver) {
    this.simulation = simulation;
    this.settings = settings;
    this.receiver = receiver;
    normalRatePerNano = settings.requestsPerSecond() * upstreams / Durations.NANOS_PER_SECOND;
    random = new SplittableRandom(seed);
    keys = zipf(settings.keys());
    routes = zipf(settings.routes());
    tenants = zipf(settings.tenants());
  }

  private ZipfDistribution zipf(PopularitySettings popularity) {
    return new ZipfDistribution(
        new Well19937c(random.nextLong()), popularity.count(), popularity.exponent());
  }

  /** Starts the arrivals with normal traffic. */
  public void start() {
    scheduleArrival();
    if (settings.burstIntervalSeconds() > 0) {
      scheduleBurst();
    }
  }

  /** Ends the arrivals. */
  public void stop() {
    isStopped = true;
  }

  private void scheduleBurst() {
    double meanNanos = Durations.secondsToNanos(settings.burstIntervalSeconds());
    simulation.schedule(exponential(meanNanos), this::startBurst);
  }

  private void startBurst() {
    setBurst(true);
    simulation.schedule(Durations.millisToNanos(settings.burstMs()), this::endBurst);
  }

  private void endBurst() {
    setBurst(false);
    scheduleBurst();
  }

  /** Changes the rate. The process has no memory, so the next arrival can be drawn again. */
  private void setBurst(boolean newIsBurst) {
    isBurst = newIsBurst;
    rateChanges++;
    scheduleArrival();
  }

  private void scheduleArrival() {
    long expectedRateChanges = rateChanges;
    double ratePerNano = normalRatePerNano * (isBurst ? settings.burstMultiple() : 1);
    simulation.schedule(
        exponential(1 / ratePerNano),
        () -> {
          if (rateChanges == expectedRateChanges && !isStopped) {
            arrive();
          }
        });
  }

  private void arrive() {
    scheduleArrival();
    receiver.accept(new Arrival(keys.sample() - 1, routes.sample() - 1, tenants.sample() - 1));
  }

  private long exponential(double mean) {
    return (long) (-Math.log(1 - random.nextDouble()) * mean);
  }
}
