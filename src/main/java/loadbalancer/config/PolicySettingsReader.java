package loadbalancer.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.settings.Costs;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.Limits;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.ServiceRules;
import loadbalancer.policy.settings.Tenant;
import loadbalancer.policy.settings.WeightKind;

/**
 * Reads the policy's settings from JSON, in the configuration file as well as in the simulator's
 * messages. Unknown fields are ignored; missing optional fields get the defaults of this class.
 */
public final class PolicySettingsReader {

  private static final Map<String, RequestEffect> REQUEST_EFFECTS =
      Map.of(
          "idempotent", RequestEffect.IDEMPOTENT,
          "deduplicated", RequestEffect.IDEMPOTENT_WITH_KEY,
          "at_most_once", RequestEffect.NOT_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
      Map.of(
          "all", DeduplicationScope.ALL,
          "zone", DeduplicationScope.ZONE,
          "cell", DeduplicationScope.CELL);
  private static final Map<String, WeightKind> WEIGHT_KINDS =
      Map.of(
          "none", WeightKind.NONE,
          "nominal", WeightKind.NOMINAL,
          "rough", WeightKind.ROUGH,
          "live", WeightKind.LIVE);
  private static final Map<String, Boolean> POLLED_BY_REGISTRY_MODE =
      Map.of("pushed", false, "on_request", true);

  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 250_000_000L;
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 15_000_000_000L;
  private static final long DEFAULT_POLL_INTERVAL_NANOS = 10_000_000_000L;
  private static final double DEFAULT_INITIAL_CAPACITY = 0.1;
  private static final long DEFAULT_WARM_UP_NANOS = 30_000_000_000L;
  private static final long DEFAULT_OVERLOAD_WINDOW_NANOS = 1_000_000_000L;
  private static final long DEFAULT_CLOCK_RESOLUTION_NANOS = 1_000_000L;

  private PolicySettingsReader() {}

  /**
   * Reads and validates the settings.
   *
   * @throws WireFormatException if a required field is missing or a field has the wrong type
   * @throws IllegalArgumentException if a value is out of range
   */
  public static PolicySettings read(JsonObjectReader settings) {
    boolean polled = settings.enumValue("registry-mode", POLLED_BY_REGISTRY_MODE, false);
    return new PolicySettings(
        (int) settings.integer("me", 0),
        (int) settings.integer("group-size", 1),
        settings.text("zone", ""),
        requestClasses(settings),
        tenants(settings),
        limits(settings.nested("limits")),
        serviceRules(settings.nested("contract"), polled),
        costs(settings.nested("prices")),
        polled,
        settings.enumValue("weight-kind", WEIGHT_KINDS, WeightKind.NONE),
        settings.number("over-share-worth", 1),
        settings.nested("domain").bool("warm-keys", false),
        settings.integer("resolution-ns", DEFAULT_CLOCK_RESOLUTION_NANOS));
  }

  private static List<RequestClass> requestClasses(JsonObjectReader settings) {
    List<RequestClass> requestClasses = new ArrayList<>();
    for (JsonObjectReader category : settings.objects("categories")) {
      requestClasses.add(requestClass(category));
    }
    return requestClasses;
  }

  private static RequestClass requestClass(JsonObjectReader category) {
    long latencyObjectiveNanos = category.integer("aim-ns");
    return new RequestClass(
        category.text("name"),
        category.enumValue("effect", REQUEST_EFFECTS, RequestEffect.NOT_IDEMPOTENT),
        category.enumValue("dedup-scope", DEDUPLICATION_SCOPES, DeduplicationScope.CELL),
        category.integer("window-ns", 0),
        latencyObjectiveNanos,
        category.number("aim-stretch", 0),
        category.integer("deadline-ns", latencyObjectiveNanos),
        category.number("gain", 1),
        category.number("late-worth", 0),
        category.bool("stream", false));
  }

  private static List<Tenant> tenants(JsonObjectReader settings) {
    List<Tenant> tenants = new ArrayList<>();
    if (settings.has("projects")) {
      for (JsonObjectReader project : settings.objects("projects")) {
        tenants.add(
            new Tenant(
                project.text("name"),
                project.number("portion", 0),
                project.number("quota-per-s", 0)));
      }
    }
    return tenants;
  }

  private static Limits limits(JsonObjectReader limits) {
    return new Limits(
        limits.bool("cancel", false),
        limits.bool("probing", false),
        limits.bool("peers", false),
        limits.bool("second-copies", false),
        limits.bool("retry-after", false),
        limits.integer("max-retry-after-ns", 0),
        (int) limits.integer("max-attempts", 1),
        (int) limits.integer("most-held", Integer.MAX_VALUE),
        (int) limits.integer("multiplex", 1),
        limits.integer("connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_NANOS),
        limits.integer("conn-idle-ns", DEFAULT_IDLE_TIMEOUT_NANOS));
  }

  private static ServiceRules serviceRules(JsonObjectReader contract, boolean polled) {
    return new ServiceRules(
        contract.integer("answer-slack-ns", 0),
        contract.integer("ask-within-ns", polled ? DEFAULT_POLL_INTERVAL_NANOS : 0),
        contract.integer("drain-grace-ns", 0),
        contract.number("cold-from", DEFAULT_INITIAL_CAPACITY),
        contract.integer("warm-within-ns", DEFAULT_WARM_UP_NANOS),
        contract.number("fall-multiple", 1),
        contract.integer("overload-for-ns", DEFAULT_OVERLOAD_WINDOW_NANOS));
  }

  private static Costs costs(JsonObjectReader prices) {
    return new Costs(
        prices.number("cross-zone", 0), prices.number("waste", 0), prices.number("late-fail", 0));
  }
}
