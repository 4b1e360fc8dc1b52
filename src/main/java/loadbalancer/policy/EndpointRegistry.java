package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.settings.PolicySettings;

/**
 * The endpoints that this balancer knows, the hash ring of the ready ones, and their load in
 * flight. An endpoint that is listed as removed, or is missing from a full list, is kept while it
 * has attempts in flight, and dropped by the first update after that.
 */
final class EndpointRegistry {
  /** The ring is built anew if more than the ready endpoints divided by this number change. */
  private static final int REBUILD_DIVISOR = 4;

  private final SplittableRandom random;
  private final long responseWindowNanos;
  private final Map<Long, Endpoint> endpoints = new HashMap<>();
  private final HashRing ring = new HashRing();
  private final RingPointCounts ringPointCounts;
  private final EndpointCounts counts;
  private final InFlightEndpoints inFlightEndpoints = new InFlightEndpoints();

  /** The endpoints that are listed as removed and kept, since they had attempts in flight. */
  private final Set<Endpoint> removedEndpoints = new HashSet<>();

  private double readyLoad;
  private double localEndpointTrafficFraction;

  /**
   * Creates a registry without endpoints.
   *
   * @param random the policy's source of randomness
   */
  EndpointRegistry(PolicySettings settings, LatencyObjectives objectives, SplittableRandom random) {
    this.random = random;
    counts = new EndpointCounts(settings);
    ringPointCounts = new RingPointCounts(settings.weightKind());
    responseWindowNanos = objectives.statisticsWindowNanos() / 2;
  }

  /** The endpoints with attempts in flight, including those that are no longer ready. */
  List<Endpoint> inFlightEndpoints() {
    return inFlightEndpoints.asList();
  }

  /** Creates a walk along the hash ring of the ready endpoints. */
  RingWalk newRingWalk() {
    return ring.newWalk();
  }

  /** The number of endpoints that are kept, ready or not. */
  int endpointCount() {
    return endpoints.size();
  }

  /** The number of ready endpoints. */
  int readyCount() {
    return counts.ready();
  }

  /** The number of ready endpoints that are local. */
  int localCount() {
    return counts.local();
  }

  /** The load in flight at all ready endpoints, in average requests. */
  double readyLoad() {
    return readyLoad;
  }

  /** Whether the endpoint is in this balancer's zone, or cross-zone traffic costs nothing. */
  boolean isLocal(Endpoint endpoint) {
    return counts.isLocal(endpoint.descriptor());
  }

  /**
   * The largest fraction of this balancer's traffic that one local endpoint should get. It is lower
   * in a zone with few endpoints left, so that the zone gets no more of the traffic than its
   * fraction of the fleet.
   */
  double localEndpointTrafficFraction() {
    return localEndpointTrafficFraction;
  }

  /** Adds an attempt that was forwarded to a ready endpoint. */
  void attemptStarted(Endpoint endpoint, double load) {
    if (endpoint.inFlight() == 0) {
      inFlightEndpoints.add(endpoint);
    }
    endpoint.addAttempt(load);
    readyLoad += load;
  }

  /** Removes an attempt that has completed. */
  void attemptCompleted(Endpoint endpoint, double load) {
    endpoint.removeAttempt(load);
    if (endpoint.inFlight() == 0) {
      inFlightEndpoints.remove(endpoint);
    }
    if (endpoint.isReady()) {
      readyLoad -= load;
    }
  }

  /**
   * Applies an update of any kind but {@link EndpointListUpdate.Kind#FAILED}. A delta takes time in
   * proportion to its entries and to the endpoints with attempts in flight, other updates also to
   * the listed endpoints.
   */
  void apply(EndpointListUpdate update, long nowNanos) {
    List<Endpoint> changed = new ArrayList<>();
    for (EndpointDescriptor descriptor : changesIn(update)) {
      Endpoint endpoint =
          endpoints.computeIfAbsent(
              descriptor.endpointId(),
              id -> new Endpoint(id, new ResponseStatistics(responseWindowNanos)));
      if (apply(descriptor, endpoint, nowNanos)) {
        changed.add(endpoint);
      }
    }
    readyLoad = inFlightEndpoints.readyLoad();
    localEndpointTrafficFraction =
        Math.min(
            1.0 / Math.max(1, counts.local()), (double) counts.zones() / Math.max(1, readyCount()));
    updateRing(changed);
    dropRemoved(changed);
  }

  private Collection<EndpointDescriptor> changesIn(EndpointListUpdate update) {
    Map<Long, EndpointDescriptor> changes = new LinkedHashMap<>();
    for (EndpointDescriptor descriptor : update.entries()) {
      changes.put(descriptor.endpointId(), descriptor);
    }
    if (update.kind() != EndpointListUpdate.Kind.DELTA) {
      for (Endpoint endpoint : endpoints.values()) {
        changes.computeIfAbsent(endpoint.id, id -> removed(endpoint));
      }
    }
    return changes.values();
  }

  private static EndpointDescriptor removed(Endpoint endpoint) {
    EndpointDescriptor last = endpoint.descriptor();
    return new EndpointDescriptor(
        endpoint.id,
        last.zone(),
        last.deduplicationCell(),
        EndpointStatus.REMOVED,
        endpoint.startedAtNanos(),
        last.weight());
  }

  /** Applies an entry to its endpoint and returns whether it differs from the previous one. */
  private boolean apply(EndpointDescriptor descriptor, Endpoint endpoint, long nowNanos) {
    if (descriptor.startedNanos() > endpoint.startedAtNanos()) {
      endpoint.recordRestart(descriptor.startedNanos());
      endpoint.outlierState.reset();
      // Random, so that balancers with equal traffic do not forward their first attempt in step.
      endpoint.slowStartState.reset(random.nextDouble(), nowNanos);
    }
    EndpointDescriptor previous = endpoint.descriptor();
    endpoint.setDescriptor(descriptor);
    if (descriptor.equals(previous)) {
      return false;
    }
    if (previous != null) {
      counts.remove(previous);
    }
    counts.add(descriptor);
    return true;
  }

  /** Drops the endpoints that are listed as removed, unless they have attempts in flight. */
  private void dropRemoved(List<Endpoint> changed) {
    for (Endpoint endpoint : changed) {
      if (isRemoved(endpoint)) {
        removedEndpoints.add(endpoint);
      }
    }
    for (Endpoint endpoint : removedEndpoints) {
      if (isRemoved(endpoint) && endpoint.inFlight() == 0) {
        endpoints.remove(endpoint.id);
      }
    }
    removedEndpoints.removeIf(endpoint -> !isRemoved(endpoint) || endpoint.inFlight() == 0);
  }

  private static boolean isRemoved(Endpoint endpoint) {
    return endpoint.descriptor().status() == EndpointStatus.REMOVED;
  }

  private List<Endpoint> readyEndpointsById() {
    return endpoints.values().stream()
        .filter(Endpoint::isReady)
        .sorted(Comparator.comparingLong(endpoint -> endpoint.id))
        .toList();
  }

  /** Gives the changed endpoints their points on the ring. */
  private void updateRing(List<Endpoint> changed) {
    if (readyCount() > 0 && ringPointCounts.needsMedianWeight()) {
      List<Endpoint> ready = readyEndpointsById();
      ringPointCounts.setMedianWeight(ready);
      ring.replaceAll(ready, ringPointCounts::of);
      return;
    }
    long changedMembers =
        changed.stream()
            .filter(endpoint -> endpoint.ringPointCount != ringPointCounts.of(endpoint))
            .count();
    if (changedMembers * REBUILD_DIVISOR > readyCount()) {
      ring.replaceAll(readyEndpointsById(), ringPointCounts::of);
    } else {
      changed.forEach(endpoint -> ring.setPointCount(endpoint, ringPointCounts.of(endpoint)));
    }
  }
}
