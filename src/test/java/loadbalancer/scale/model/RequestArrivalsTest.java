package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.scale.config.ArrivalSettings;
import loadbalancer.scale.config.PopularitySettings;
import org.junit.jupiter.api.Test;

class RequestArrivalsTest {

  private static final PopularitySettings FEW = new PopularitySettings(5, 1);
  private static final long RUN_NANOS = 100_000_000_000L;

  private static List<RequestArrivals.Arrival> run(double burstIntervalSeconds, long seed) {
    ArrivalSettings settings =
        new ArrivalSettings(10, 5, 1000, burstIntervalSeconds, FEW, FEW, FEW);
    Simulation simulation = new Simulation();
    List<RequestArrivals.Arrival> arrivals = new ArrayList<>();
    RequestArrivals process = new RequestArrivals(simulation, settings, 10, seed, arrivals::add);
    process.start();
    simulation.run(RUN_NANOS);
    process.stop();
    simulation.run(2 * RUN_NANOS);
    return arrivals;
  }

  @Test
  void arriveAtTheRateOfAllUpstreams() {
    // 10,000 are expected; the bounds are 5 standard deviations.
    assertEquals(10_000, run(0, 1).size(), 500);
  }

  @Test
  void burstsRaiseTheRateForTheirDuration() {
    // On average, 20 bursts of 1 s add 400 requests each.
    int count = run(4, 1).size();
    assertTrue(count > 14_000 && count < 22_000, "requests: " + count);
  }

  @Test
  void popularKeysGetMoreRequestsAndTheSeedDecidesAll() {
    List<RequestArrivals.Arrival> arrivals = run(0, 1);
    long first = arrivals.stream().filter(arrival -> arrival.key() == 0).count();
    long last = arrivals.stream().filter(arrival -> arrival.key() == 4).count();
    assertEquals(5, (double) first / last, 1);
    assertEquals(arrivals, run(0, 1));
  }
}
