package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/** A list of upstreams in discovery's form, whole or only what changed. */
public record EndpointList(long version, boolean full, List<Endpoint> endpoints) {

  private static final Map<String, EndpointStatus> STATUS =
      Map.of(
          "in_service",
          EndpointStatus.READY,
          "terminating",
          EndpointStatus.DRAINING,
          "terminated",
          EndpointStatus.REMOVED);

  /** One upstream: what the module is told of it, and where it listens as this balancer sees it. */
  public record Endpoint(InetSocketAddress address, EndpointDescriptor descriptor) {}

  public static EndpointList fromJson(JsonObjectReader list) {
    return new EndpointList(
        list.integer("index"),
        list.bool("snapshot", false),
        list.objects("endpoints").stream().map(EndpointList::endpoint).toList());
  }

  /** The version and the number of entries by status, as key=value pairs for a log line. */
  public String summary() {
    StringBuilder text = new StringBuilder("version=" + version + " full=" + full);
    for (EndpointStatus status : EndpointStatus.values()) {
      text.append(' ')
          .append(status.name().toLowerCase(Locale.ROOT))
          .append('=')
          .append(
              endpoints.stream()
                  .filter(endpoint -> endpoint.descriptor().status() == status)
                  .count());
    }
    return text.toString();
  }

  private static Endpoint endpoint(JsonObjectReader f) {
    EndpointDescriptor listed =
        new EndpointDescriptor(
            endpointId(f.text("name")),
            f.text("zone", ""),
            (int) f.integer("group", 0),
            f.word("status", STATUS),
            f.integer("since_ms", 0) * 1_000_000L,
            f.number("weight", 1));
    return new Endpoint(ProxyConfiguration.address("address", f.text("address")), listed);
  }

  /** FNV-1a: the same at every balancer and after every restart, so that all agree on the ring. */
  public static long endpointId(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }
}
