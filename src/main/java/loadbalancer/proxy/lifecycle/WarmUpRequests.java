package loadbalancer.proxy.lifecycle;

import java.util.List;
import loadbalancer.policy.settings.DeduplicationScope;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.policy.settings.RequestClass;
import loadbalancer.policy.settings.RequestEffect;
import loadbalancer.policy.settings.Tenant;
import loadbalancer.proxy.http.RequestHeaders;

/** The synthetic requests of a warm-up and the policy settings for them. Immutable. */
final class WarmUpRequests {

  private static final int SESSION_KEY_COUNT = 50;
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final String path;
  private final String className;
  private final PolicySettings settings;

  /**
   * Creates requests of a single request class, which is named after the path.
   *
   * @param path the path of the requests, starting with a slash
   * @param proxySettings the settings of the proxy, whose tenants the requests use
   */
  WarmUpRequests(String path, PolicySettings proxySettings) {
    this.path = path;
    className = path.substring(1);
    settings = settingsWithOneClass(proxySettings, requestClass(className));
  }

  private static RequestClass requestClass(String name) {
    long latencyObjectiveNanos = SECOND_NANOS;
    long deduplicationWindowNanos = SECOND_NANOS;
    long deadlineNanos = 2 * SECOND_NANOS;
    return new RequestClass(
        name,
        RequestEffect.IDEMPOTENT,
        DeduplicationScope.ALL,
        deduplicationWindowNanos,
        latencyObjectiveNanos,
        0,
        deadlineNanos,
        1,
        0,
        false);
  }

  private static PolicySettings settingsWithOneClass(
      PolicySettings proxySettings, RequestClass requestClass) {
    return new PolicySettings(
        0,
        1,
        proxySettings.zone(),
        List.of(requestClass),
        proxySettings.tenants(),
        proxySettings.limits(),
        proxySettings.serviceRules(),
        proxySettings.costs(),
        false,
        proxySettings.weightKind(),
        proxySettings.overQuotaWeight(),
        proxySettings.endpointsCacheKeys(),
        proxySettings.clockResolutionNanos());
  }

  /** The proxy's settings, with the class of these requests as the only request class. */
  PolicySettings settings() {
    return settings;
  }

  /**
   * Formats a request as HTTP/1.1 text. Session keys and tenants are assigned in rotation.
   *
   * @param number the sequence number of the request, from 0
   */
  String text(int number) {
    List<Tenant> tenants = settings.tenants();
    StringBuilder text = new StringBuilder("GET " + path + " HTTP/1.1\r\nHost: warm-up\r\n");
    appendHeader(text, RequestHeaders.CORRELATION_ID, "warm-up-" + number);
    appendHeader(text, RequestHeaders.SERVICE_CLASS, className);
    appendHeader(text, RequestHeaders.SESSION_KEY, Integer.toString(number % SESSION_KEY_COUNT));
    if (!tenants.isEmpty()) {
      appendHeader(text, RequestHeaders.ACCOUNT, tenants.get(number % tenants.size()).name());
    }
    appendHeader(text, RequestHeaders.TIME_LEFT_MILLIS, "1000");
    appendHeader(text, RequestHeaders.WORK_HINT_MICROS, "1000");
    return text.append("\r\n").toString();
  }

  private static void appendHeader(StringBuilder text, String name, String value) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
}
