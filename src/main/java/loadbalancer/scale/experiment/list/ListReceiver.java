package loadbalancer.scale.experiment.list;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.EndpointTable;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * The classes of a balancer that receive the endpoint list: the table with its connection pools,
 * and the policy. No connection is made. Must be closed, so that the event loop releases the pools.
 */
final class ListReceiver implements AutoCloseable {

  private static final ConnectionLimits CONNECTION_LIMITS =
      new ConnectionLimits(
          TimeUnit.MILLISECONDS.toNanos(250),
          TimeUnit.SECONDS.toNanos(15),
          /* maxConnections= */ 1000);

  private final UpstreamConnectionPools pools;
  private final EndpointTable table;
  private final LoadBalancingPolicy policy;
  private boolean hasList;

  /**
   * Creates a receiver without endpoints.
   *
   * @param eventLoop the event loop of the connection pools
   * @param seed the seed of the policy
   */
  ListReceiver(EventLoop eventLoop, long seed) {
    pools = new UpstreamConnectionPools(eventLoop, CONNECTION_LIMITS);
    table = new EndpointTable(pools);
    policy = new AdaptiveLoadBalancingPolicy(BalancerSettings.policySettings(), seed);
  }

  /** Parses a message as the balancer does. */
  static EndpointList parse(String json) {
    return EndpointList.fromJson(read(json));
  }

  /** Parses a message into the objects that {@link #parse} takes the list from. */
  static JsonObjectReader read(String json) {
    try {
      return JsonObjectReader.parse("list", json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The time on the balancer's clock at which a message arrives. */
  static long arrivalNanos(EndpointList list) {
    return TimeUnit.MILLISECONDS.toNanos(EndpointFleet.START_MILLIS + list.version());
  }

  /** Gives a message to the table and the policy. */
  void apply(EndpointList list) {
    applyToTable(list);
    applyToPolicy(list);
  }

  /** Gives a message to the table. */
  void applyToTable(EndpointList list) {
    if (list.full()) {
      table.applyFullList(list.endpoints());
    } else {
      table.applyChanges(list.endpoints());
    }
  }

  /** Gives a message to the policy. */
  void applyToPolicy(EndpointList list) {
    List<EndpointDescriptor> entries =
        list.endpoints().stream().map(EndpointList.Endpoint::descriptor).toList();
    policy.handle(arrivalNanos(list), new EndpointListUpdate(kind(list), entries), action -> {});
    hasList = true;
  }

  private EndpointListUpdate.Kind kind(EndpointList list) {
    if (!hasList) {
      return EndpointListUpdate.Kind.CACHED;
    }
    return list.full() ? EndpointListUpdate.Kind.FULL : EndpointListUpdate.Kind.DELTA;
  }

  /** The policy. */
  LoadBalancingPolicy policy() {
    return policy;
  }

  /** The table. */
  EndpointTable table() {
    return table;
  }

  @Override
  public void close() {
    pools.close();
  }
}
