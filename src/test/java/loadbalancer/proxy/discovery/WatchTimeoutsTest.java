package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.SetTimer;
import loadbalancer.policy.action.WatchEndpoints;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.TimerFired;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.Test;

/** The time limits of a watch, against the protocol's figures and the back-off of the policy. */
class WatchTimeoutsTest {

  /** The protocol's figures are written out here a second time, as literals. */
  @Test
  void timeoutAndBackOffTogetherStayWithinTheProtocolsLimits() throws Exception {
    long heartbeat = 2_000;
    long notifiedAfterSilence = 6_000;
    long notifiedAfterReload = 4_000;
    long margin = 500;
    long backOff = longestBackOffMillis();
    assertTrue(WatchTimeouts.SILENCE_MILLIS > 2 * heartbeat, "one late heartbeat is not silence");
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_MILLIS > heartbeat, "a late first heartbeat is not a failure");
    assertTrue(
        WatchTimeouts.SILENCE_MILLIS + backOff <= notifiedAfterSilence - margin,
        "silence, back-off " + backOff);
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_MILLIS + backOff <= notifiedAfterReload - margin,
        "no first response, back-off " + backOff);
    assertTrue(backOff > 500, "the back-off still grows: " + backOff);
  }

  /** The longest back-off of the policy, over a run of failures and many seeds. */
  private static long longestBackOffMillis() throws Exception {
    PolicySettings settings =
        PolicySettingsReader.read(
            JsonObjectReader.parse(
                    "configuration", TestProxy.configurationJson(TestProxy.unreachableAddress(), 1))
                .nested("settings"));
    assertTrue(settings.endpointListPolled());
    long longestNanos = 0;
    for (long seed = 0; seed < 100; seed++) {
      LoadBalancingPolicy policy = new AdaptiveLoadBalancingPolicy(settings, seed);
      long nowNanos = 1_000_000_000_000L;
      policy.handle(
          nowNanos,
          new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, List.of()),
          action -> {});
      for (int failures = 0; failures < 20; failures++) {
        List<Action> actions = new ArrayList<>();
        policy.handle(
            nowNanos,
            new EndpointListUpdate(EndpointListUpdate.Kind.FAILED, List.of()),
            actions::add);
        long failedNanos = nowNanos;
        while (!actions.contains(new WatchEndpoints(true))) {
          nowNanos = ((SetTimer) actions.get(actions.size() - 1)).fireAtNanos();
          policy.handle(nowNanos, new TimerFired("sweep"), actions::add);
        }
        longestNanos = Math.max(longestNanos, nowNanos - failedNanos);
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(longestNanos) + 1;
  }
}
