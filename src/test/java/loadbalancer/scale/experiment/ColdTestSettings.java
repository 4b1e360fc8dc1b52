package loadbalancer.scale.experiment;

import java.util.List;
import loadbalancer.scale.config.ArrivalSettings;
import loadbalancer.scale.config.BalancerSettings;
import loadbalancer.scale.config.ColdSettings;
import loadbalancer.scale.config.PopularitySettings;
import loadbalancer.scale.config.UpstreamSettings;

/** Settings of short runs of the experiment "cold". */
final class ColdTestSettings {

  static final UpstreamSettings UPSTREAMS =
      new UpstreamSettings(5, 2, 8, 60, 0.5, 0.01, 0.2, 4, 3, 500);

  private ColdTestSettings() {}

  static ColdSettings withBalancers(Integer... counts) {
    PopularitySettings names = new PopularitySettings(10, 0.5);
    ArrivalSettings arrivals =
        new ArrivalSettings(20, 2, 500, 2, new PopularitySettings(1000, 0.5), names, names);
    BalancerSettings balancers = new BalancerSettings(3, 0, 400, 2000, 3);
    return new ColdSettings(
        List.of(counts), 2, 2, 6, 500, 500, 200, arrivals, balancers, UPSTREAMS);
  }
}
