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

/** The timeouts of a watch against the time limits of the protocol and the policy's backoff. */
class WatchTimeoutsTest {

  /** Repeats the protocol's figures as literals, so that a wrong constant is noticed. */
  @Test
  void timeoutPlusBackoffStaysWithinTheProtocolsLimits() throws Exception {
    long heartbeatMillis = 2_000;
    long notifiedAfterIdleMillis = 6_000;
    long notifiedAfterReloadMillis = 4_000;
    long marginMillis = 500;
    long backoffMillis = longestBackoffMillis();
    assertTrue(
        WatchTimeouts.IDLE_TIMEOUT_MILLIS > 2 * heartbeatMillis,
        "one late heartbeat must not fail the watch");
    // Guards against a slow list that is given up each time just before its end.
    assertTrue(
        WatchTimeouts.FIRST_LIST_TIMEOUT_MILLIS > notifiedAfterIdleMillis,
        "a list that is complete when it counts as notified must not be given up");
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_TIMEOUT_MILLIS > heartbeatMillis,
        "a late first heartbeat must not fail the watch");
    assertTrue(
        WatchTimeouts.IDLE_TIMEOUT_MILLIS + backoffMillis <= notifiedAfterIdleMillis - marginMillis,
        "idle timeout plus backoff of " + backoffMillis + " ms");
    assertTrue(
        WatchTimeouts.FIRST_RESPONSE_TIMEOUT_MILLIS + backoffMillis
            <= notifiedAfterReloadMillis - marginMillis,
        "first response timeout plus backoff of " + backoffMillis + " ms");
    assertTrue(
        backoffMillis > 500, "the longest backoff was not reached: " + backoffMillis + " ms");
  }

  /** Returns the policy's longest backoff over 20 failures in a row with each of 100 seeds. */
  private static long longestBackoffMillis() throws Exception {
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
        long failedAtNanos = nowNanos;
        while (!actions.contains(new WatchEndpoints(true))) {
          nowNanos = ((SetTimer) actions.get(actions.size() - 1)).fireAtNanos();
          policy.handle(nowNanos, new TimerFired("sweep"), actions::add);
        }
        longestNanos = Math.max(longestNanos, nowNanos - failedAtNanos);
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(longestNanos) + 1;
  }
}
