package loadbalancer.scale.model;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.scale.config.ArrivalSettings;
import loadbalancer.scale.config.BalancerSettings;
import loadbalancer.scale.config.UpstreamSettings;

/**
 * Makes the settings of the policies of a service's balancers, through the JSON text that a
 * balancer's configuration file has. The balancers share the lists of request classes and tenants.
 */
public final class PolicySettingsFactory {

  private static final long DRAIN_GRACE_NANOS = 250_000_000L;
  private static final long RESPONSE_SLACK_NANOS = 8_000_000L;
  private static final long MAX_RETRY_AFTER_NANOS = 2_000_000_000L;

  private final PolicySettings shared;

  /** Creates the settings of one of {@code groupSize} balancers. */
  public PolicySettingsFactory(
      BalancerSettings balancers,
      UpstreamSettings upstreams,
      ArrivalSettings arrivals,
      int groupSize) {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.put("group-size", groupSize).put("registry-mode", "pushed");
    settings.set("categories", categories(balancers, arrivals.routes().count()));
    settings.set("projects", projects(arrivals.tenants().count()));
    settings.set("limits", limits(balancers));
    settings.set("contract", contract(upstreams));
    settings.putObject("prices").put("cross-zone", balancers.crossZoneCost());
    shared = read(settings.toString());
  }

  /** Reads the settings of a policy from a JSON text of the model. */
  static PolicySettings read(String json) {
    try {
      return PolicySettingsReader.read(JsonObjectReader.parse("settings", json));
    } catch (IOException e) {
      throw new UncheckedIOException("the model made an invalid settings text", e);
    }
  }

  private static ArrayNode categories(BalancerSettings balancers, int routes) {
    ArrayNode categories = JsonNodeFactory.instance.arrayNode();
    for (int route = 0; route < routes; route++) {
      categories
          .addObject()
          .put("name", routeName(route))
          .put("effect", "idempotent")
          .put("aim-ns", Durations.millisToNanos(balancers.latencyObjectiveMs()))
          .put("deadline-ns", Durations.millisToNanos(balancers.deadlineMs()));
    }
    return categories;
  }

  private static ArrayNode projects(int tenants) {
    ArrayNode projects = JsonNodeFactory.instance.arrayNode();
    for (int tenant = 0; tenant < tenants; tenant++) {
      projects.addObject().put("name", tenantName(tenant)).put("portion", 1.0 / tenants);
    }
    return projects;
  }

  private static ObjectNode limits(BalancerSettings balancers) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("cancel", true)
        .put("retry-after", true)
        .put("max-retry-after-ns", MAX_RETRY_AFTER_NANOS)
        .put("max-attempts", balancers.maxAttempts());
  }

  private static ObjectNode contract(UpstreamSettings upstreams) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("drain-grace-ns", DRAIN_GRACE_NANOS)
        .put("answer-slack-ns", RESPONSE_SLACK_NANOS)
        .put("cold-from", upstreams.initialCapacityFraction())
        .put("warm-within-ns", Durations.secondsToNanos(upstreams.warmUpSeconds()))
        .put("fall-multiple", upstreams.overloadMultiple())
        .put("overload-for-ns", Durations.millisToNanos(upstreams.overloadWindowMs()));
  }

  /** The settings of the balancer with this index in the group. */
  public PolicySettings forBalancer(int index, String zone) {
    return new PolicySettings(
        index,
        shared.groupSize(),
        zone,
        shared.requestClasses(),
        shared.tenants(),
        shared.limits(),
        shared.serviceRules(),
        shared.costs(),
        shared.endpointListPolled(),
        shared.weightKind(),
        shared.overQuotaWeight(),
        shared.endpointsCacheKeys(),
        shared.clockResolutionNanos());
  }

  /** The names of the zones. */
  public static List<String> zoneNames(int zones) {
    return IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList();
  }

  /** The name of the request class of a route. */
  public static String routeName(int route) {
    return "route-" + route;
  }

  /** The name of a tenant. */
  public static String tenantName(int tenant) {
    return "tenant-" + tenant;
  }
}
