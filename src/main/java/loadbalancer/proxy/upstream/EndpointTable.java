package loadbalancer.proxy.upstream;

import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointStatus;

/**
 * The endpoints of the endpoint list, and removed endpoints until the attempts to them have
 * completed. Not thread-safe: used on the event loop only.
 */
public final class EndpointTable {

  private final UpstreamConnectionPools pools;

  /** By id. A concurrent map because {@link #endpointIds} allows changes during an iteration. */
  private final Map<Long, UpstreamEndpoint> endpoints = new ConcurrentHashMap<>();

  /**
   * Creates an empty table.
   *
   * @param pools creates the connection pools of the table's endpoints
   */
  public EndpointTable(UpstreamConnectionPools pools) {
    this.pools = pools;
  }

  /**
   * The endpoint with this id, or null if the list has never contained it or it was removed and has
   * no attempts in flight.
   */
  public UpstreamEndpoint find(long endpointId) {
    return endpoints.get(endpointId);
  }

  /** The number of endpoints, including removed ones with attempts in flight. */
  public int size() {
    return endpoints.size();
  }

  /**
   * The ids of the endpoints, including removed ones with attempts in flight. Endpoints may be
   * added to the table and deleted from it during the iteration, which may or may not return them.
   */
  public Iterator<Long> endpointIds() {
    return endpoints.keySet().iterator();
  }

  /** Whether an entry of the endpoint list would change nothing. */
  public boolean isCurrent(EndpointList.Endpoint entry) {
    UpstreamEndpoint endpoint = endpoints.get(entry.descriptor().endpointId());
    return endpoint == null
        ? entry.descriptor().status() == EndpointStatus.REMOVED
        : endpoint.hasEntry(entry);
  }

  /** Returns an entry that removes this endpoint; empty if it is unknown or removed already. */
  public Optional<EndpointList.Endpoint> removalEntry(long endpointId) {
    return Optional.ofNullable(endpoints.get(endpointId))
        .filter(endpoint -> !endpoint.isRemoved())
        .map(UpstreamEndpoint::removalEntry);
  }

  /** Applies a partial update of the endpoint list, which contains the changed entries only. */
  public void applyChanges(List<EndpointList.Endpoint> changedEntries) {
    changedEntries.forEach(this::apply);
  }

  /** Applies a full endpoint list; endpoints that it does not contain are removed. */
  public void applyFullList(List<EndpointList.Endpoint> allEntries) {
    Set<Long> listedIds = new HashSet<>();
    for (EndpointList.Endpoint entry : allEntries) {
      listedIds.add(entry.descriptor().endpointId());
      apply(entry);
    }
    for (UpstreamEndpoint endpoint : List.copyOf(endpoints.values())) {
      if (!listedIds.contains(endpoint.descriptor().endpointId())) {
        remove(endpoint);
      }
    }
  }

  private void apply(EndpointList.Endpoint entry) {
    long endpointId = entry.descriptor().endpointId();
    UpstreamEndpoint endpoint = endpoints.get(endpointId);
    if (endpoint == null) {
      endpoint = new UpstreamEndpoint(pools, entry);
      endpoints.put(endpointId, endpoint);
    } else {
      endpoint.update(entry);
    }
    if (endpoint.isRemoved()) {
      remove(endpoint);
    }
  }

  private void remove(UpstreamEndpoint endpoint) {
    endpoint.remove();
    deleteIfUnused(endpoint);
  }

  /** Records the start of an attempt; the endpoint is kept until the attempt completes. */
  public void attemptStarted(UpstreamEndpoint endpoint) {
    endpoint.attemptStarted();
  }

  /** Records the completion of an attempt; called once for each started attempt. */
  public void attemptCompleted(UpstreamEndpoint endpoint) {
    endpoint.attemptCompleted();
    deleteIfUnused(endpoint);
  }

  /** Keeps the table bounded when upstreams are continually replaced under new ids. */
  private void deleteIfUnused(UpstreamEndpoint endpoint) {
    if (endpoint.isRemoved() && !endpoint.hasAttemptsInFlight()) {
      endpoints.remove(endpoint.descriptor().endpointId(), endpoint);
    }
  }
}
