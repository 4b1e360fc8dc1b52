package loadbalancer.proxy.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointDescriptor;

/**
 * The upstreams that the endpoint list names, and removed ones while attempts to them are in
 * flight. All state belongs to the event loop.
 */
public final class EndpointTable {

  private final UpstreamConnectionPools pools;
  private final Map<Long, UpstreamEndpoint> endpoints = new HashMap<>();

  /**
   * Makes an empty table.
   *
   * @param pools makes the connection pools of the table's endpoints
   */
  public EndpointTable(UpstreamConnectionPools pools) {
    this.pools = pools;
  }

  /**
   * The endpoint with this identifier; null where the list never named it, or it was removed and no
   * attempt to it is in flight.
   */
  public UpstreamEndpoint find(long endpointId) {
    return endpoints.get(endpointId);
  }

  /** The number of endpoints, removed ones with attempts in flight included. */
  int size() {
    return endpoints.size();
  }

  /** Applies the changed entries of an endpoint list. */
  public void applyChanges(List<EndpointList.Endpoint> changed) {
    changed.forEach(this::apply);
  }

  /** Applies a full endpoint list: endpoints that it does not name are removed. */
  public void applyFullList(List<EndpointList.Endpoint> listed) {
    Set<Long> listedIds = new HashSet<>();
    for (EndpointList.Endpoint host : listed) {
      listedIds.add(host.descriptor().endpointId());
      apply(host);
    }
    for (UpstreamEndpoint endpoint : List.copyOf(endpoints.values())) {
      if (!listedIds.contains(endpoint.descriptor().endpointId())) {
        remove(endpoint);
      }
    }
  }

  private void apply(EndpointList.Endpoint host) {
    EndpointDescriptor descriptor = host.descriptor();
    UpstreamEndpoint endpoint = endpoints.get(descriptor.endpointId());
    if (endpoint == null) {
      endpoint = new UpstreamEndpoint(descriptor, pools.createPool(host.address()));
      endpoints.put(descriptor.endpointId(), endpoint);
    } else if (endpoint.isRemoved() || !endpoint.pool().address().equals(host.address())) {
      endpoint.replacePool(pools.createPool(host.address()));
    }
    endpoint.describe(descriptor);
    if (endpoint.isRemoved()) {
      remove(endpoint);
    }
  }

  private void remove(UpstreamEndpoint endpoint) {
    endpoint.remove();
    forgetIfUnused(endpoint);
  }

  /**
   * Records that an attempt to the endpoint is in flight; the endpoint is kept until it completes.
   */
  public void attemptStarted(UpstreamEndpoint endpoint) {
    endpoint.attemptStarted();
  }

  /** Records that an attempt to the endpoint has completed; once for each one started. */
  public void attemptCompleted(UpstreamEndpoint endpoint) {
    endpoint.attemptCompleted();
    forgetIfUnused(endpoint);
  }

  /** Bounds the table where upstreams are replaced all day under new identifiers. */
  private void forgetIfUnused(UpstreamEndpoint endpoint) {
    if (endpoint.isRemoved() && !endpoint.hasAttemptsInFlight()) {
      endpoints.remove(endpoint.descriptor().endpointId(), endpoint);
    }
  }
}
