package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final long responseWindowNanos;
  private final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();
  private final HashRing ring = new HashRing();
  private final RingPointCounts ringPointCounts;
  private int readyCount;
  private double readyLoad;
  private double localEndpointTrafficFraction;

  /**
   * Creates a registry without endpoints.
   *
   * @param random the policy's source of randomness
   */
  EndpointRegistry(PolicySettings settings, LatencyObjectives objectives, SplittableRandom random) {
    this.settings = settings;
    this.random = random;
    ringPointCounts = new RingPointCounts(settings.weightKind());
    responseWindowNanos = objectives.statisticsWindowNanos() / 2;
  }

  /** All endpoints, in the order in which they were first listed. */
  Collection<Endpoint> endpoints() {
    return endpoints.values();
  }

  /** Creates a walk along the hash ring of the ready endpoints. */
  RingWalk newRingWalk() {
    return ring.newWalk();
  }

  /** The number of ready endpoints. */
  int readyCount() {
    return readyCount;
  }

  /** The load in flight at all ready endpoints, in average requests. */
  double readyLoad() {
    return readyLoad;
  }

  /** Whether the endpoint is in this balancer's zone, or cross-zone traffic costs nothing. */
  boolean isLocal(Endpoint endpoint) {
    return settings.costs().crossZone() == 0
        || endpoint.descriptor().zone().equals(settings.zone());
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
    endpoint.addAttempt(load);
    readyLoad += load;
  }

  /** Removes an attempt that has completed. */
  void attemptCompleted(Endpoint endpoint, double load) {
    endpoint.removeAttempt(load);
    if (endpoint.isReady()) {
      readyLoad -= load;
    }
  }

  /** Applies an update of any kind but {@link EndpointListUpdate.Kind#FAILED}. */
  void apply(EndpointListUpdate update, long nowNanos) {
    List<Endpoint> updated = new ArrayList<>();
    for (EndpointDescriptor descriptor : changesIn(update)) {
      updated.add(apply(descriptor, nowNanos));
    }
    updateCounts();
    updateRing(updated);
    endpoints
        .values()
        .removeIf(
            endpoint ->
                endpoint.descriptor().status() == EndpointStatus.REMOVED
                    && endpoint.inFlight() == 0);
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

  private Endpoint apply(EndpointDescriptor descriptor, long nowNanos) {
    Endpoint endpoint =
        endpoints.computeIfAbsent(
            descriptor.endpointId(),
            id ->
                new Endpoint(
                    id,
                    new ResponseStatistics(responseWindowNanos, nowNanos),
                    InFlightTime.newWindow(nowNanos)));
    if (descriptor.startedNanos() > endpoint.startedAtNanos()) {
      endpoint.recordRestart(descriptor.startedNanos());
      endpoint.outlierState.reset();
      // Random, so that balancers with equal traffic do not forward their first attempt in step.
      endpoint.slowStartState.reset(random.nextDouble(), nowNanos);
    }
    endpoint.setDescriptor(descriptor);
    return endpoint;
  }

  private void updateCounts() {
    List<Endpoint> members = readyEndpointsById();
    readyCount = members.size();
    readyLoad = members.stream().mapToDouble(Endpoint::load).sum();
    localEndpointTrafficFraction = localEndpointTrafficFraction(members);
  }

  private List<Endpoint> readyEndpointsById() {
    return endpoints.values().stream()
        .filter(Endpoint::isReady)
        .sorted(Comparator.comparingLong(endpoint -> endpoint.id))
        .toList();
  }

  /** Gives the endpoints of an update their points on the ring. */
  private void updateRing(List<Endpoint> updated) {
    if (readyCount > 0 && ringPointCounts.needsMedianWeight()) {
      List<Endpoint> ready = readyEndpointsById();
      ringPointCounts.setMedianWeight(ready);
      ring.replaceAll(ready, ringPointCounts::of);
      return;
    }
    long changed =
        updated.stream()
            .filter(endpoint -> endpoint.ringPointCount != ringPointCounts.of(endpoint))
            .count();
    if (changed * REBUILD_DIVISOR > readyCount) {
      ring.replaceAll(readyEndpointsById(), ringPointCounts::of);
    } else {
      updated.forEach(endpoint -> ring.setPointCount(endpoint, ringPointCounts.of(endpoint)));
    }
  }

  private double localEndpointTrafficFraction(List<Endpoint> members) {
    long local = members.stream().filter(this::isLocal).count();
    long zones = members.stream().map(endpoint -> endpoint.descriptor().zone()).distinct().count();
    return Math.min(1.0 / Math.max(1, local), (double) zones / Math.max(1, members.size()));
  }
}
