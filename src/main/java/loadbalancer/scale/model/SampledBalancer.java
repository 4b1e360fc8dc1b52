package loadbalancer.scale.model;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.EndpointTable;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;
import loadbalancer.proxy.upstream.UpstreamEndpoint;

/**
 * The real endpoint table and policy of a balancer, with the real parser in front of them. It
 * parses whole messages, and applies what concerns the first entries of the fleet's list, to save
 * memory.
 */
public final class SampledBalancer {

  private static final long TIMEOUT_NANOS = 5 * Durations.NANOS_PER_SECOND;
  private static final int MAX_CONNECTIONS = 1_024;
  private static final String POLICY_SETTINGS =
      """
      {"categories":[{"name":"look","effect":"idempotent","aim-ns":2000000000}],
       "registry-mode":"pushed",
       "limits":{"max-attempts":3},
       "contract":{"drain-grace-ns":2000000000}}
      """;

  private final Set<Long> listedIds;
  private final EndpointTable table;
  private final AdaptiveLoadBalancingPolicy policy;

  /** Creates a balancer whose list has the first {@code listEntries} entries. */
  public SampledBalancer(int listEntries, long seed) {
    listedIds =
        IntStream.range(0, listEntries)
            .mapToObj(index -> new EndpointEntry(index, EndpointEntry.IN_SERVICE, 1).name())
            .map(EndpointList::endpointId)
            .collect(Collectors.toUnmodifiableSet());
    // The channel's event loop runs nothing by itself, since no connection is opened.
    table =
        new EndpointTable(
            new UpstreamConnectionPools(
                new EmbeddedChannel().eventLoop(),
                new ConnectionLimits(TIMEOUT_NANOS, TIMEOUT_NANOS, MAX_CONNECTIONS)));
    policy = new AdaptiveLoadBalancingPolicy(PolicySettingsFactory.read(POLICY_SETTINGS), seed);
  }

  /** Loads the list at the start, as from the configuration file. */
  public void load(DiscoveryMessage fullList) {
    List<EndpointList.Endpoint> entries = listed(fullList.list());
    table.applyFullList(entries);
    notifyPolicy(EndpointListUpdate.Kind.CACHED, entries, 0);
  }

  /** Parses and applies a message. */
  public void apply(DiscoveryMessage message, long nowNanos) {
    if (message.list().full()) {
      List<EndpointList.Endpoint> entries = listed(message.list());
      table.applyFullList(entries);
      notifyPolicy(EndpointListUpdate.Kind.FULL, entries, nowNanos);
      return;
    }
    List<EndpointList.Endpoint> entries = listed(MessageFactory.parse(message.payload()));
    table.applyChanges(entries);
    notifyPolicy(EndpointListUpdate.Kind.DELTA, entries, nowNanos);
  }

  /** Whether the table has the same state as a full list, for the entries in this one's list. */
  boolean matches(EndpointList fullList) {
    List<EndpointList.Endpoint> entries = listed(fullList);
    long present = listedIds.stream().filter(id -> table.find(id) != null).count();
    return present == entries.size()
        && entries.stream().map(EndpointList.Endpoint::descriptor).allMatch(this::isInTable);
  }

  private boolean isInTable(EndpointDescriptor descriptor) {
    UpstreamEndpoint endpoint = table.find(descriptor.endpointId());
    return endpoint != null && endpoint.descriptor().equals(descriptor);
  }

  private List<EndpointList.Endpoint> listed(EndpointList list) {
    return list.endpoints().stream()
        .filter(entry -> listedIds.contains(entry.descriptor().endpointId()))
        .toList();
  }

  private void notifyPolicy(
      EndpointListUpdate.Kind kind, List<EndpointList.Endpoint> entries, long nowNanos) {
    List<EndpointDescriptor> descriptors =
        entries.stream().map(EndpointList.Endpoint::descriptor).toList();
    // Without requests and failed watches the policy needs no timers.
    policy.handle(nowNanos, new EndpointListUpdate(kind, descriptors), action -> {});
  }
}
