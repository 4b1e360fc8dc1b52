package loadbalancer.policy;

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
import loadbalancer.policy.settings.WeightKind;

/**
 * The endpoints that this balancer knows, the hash ring of those that are ready, and the load in
 * flight on the ring. An endpoint that is listed as removed, or missing in a full list, stays until
 * its last attempt completes.
 */
final class EndpointRegistry {
  /** Puts the spread of keys within some 15% of even; {@link LoadBound} does the rest. */
  private static final int RING_POINTS_PER_ENDPOINT = 50;

  /** A weight counts at most this many times the median, and at least its inverse. */
  private static final double MAX_RELATIVE_WEIGHT = 4;

  private final PolicySettings settings;
  private final SplittableRandom random;
  private final long responseWindowNanos;
  private final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();
  private HashRing ring = new HashRing(List.of(), endpoint -> 0);
  private int readyCount;
  private double readyLoad;
  private double localEndpointFraction;

  /** The median weight of the first list that named a ready endpoint. */
  private double medianWeight;

  /**
   * A registry without endpoints.
   *
   * @param random the policy's source of randomness
   */
  EndpointRegistry(PolicySettings settings, LatencyObjectives objectives, SplittableRandom random) {
    this.settings = settings;
    this.random = random;
    responseWindowNanos = objectives.statisticsWindowNanos() / 2;
  }

  /** All endpoints, in the order in which they were first listed. */
  Collection<Endpoint> endpoints() {
    return endpoints.values();
  }

  /** The hash ring of the ready endpoints. */
  HashRing ring() {
    return ring;
  }

  /** The number of ready endpoints. */
  int readyCount() {
    return readyCount;
  }

  /** The load in flight at ready endpoints, in average requests. */
  double readyLoad() {
    return readyLoad;
  }

  /** Whether the endpoint is in this balancer's zone, or zones do not matter. */
  boolean isLocal(Endpoint endpoint) {
    return settings.costs().crossZone() == 0
        || endpoint.descriptor().zone().equals(settings.zone());
  }

  /**
   * The fraction of this balancer's traffic that an endpoint of the local zone is meant to get at
   * most: a zone with few endpoints left gets no more than the zone's fraction of the fleet.
   */
  double localEndpointFraction() {
    return localEndpointFraction;
  }

  /** Counts an attempt that was forwarded to a ready endpoint. */
  void attemptStarted(Endpoint endpoint, double load) {
    endpoint.addAttempt(load);
    readyLoad += load;
  }

  /** Counts an attempt as completed. */
  void attemptCompleted(Endpoint endpoint, double load) {
    endpoint.removeAttempt(load);
    if (endpoint.isReady()) {
      readyLoad -= load;
    }
  }

  /** Applies an update other than {@link EndpointListUpdate.Kind#FAILED}. */
  void apply(EndpointListUpdate update, long nowNanos) {
    for (EndpointDescriptor descriptor : changesOf(update)) {
      apply(descriptor, nowNanos);
    }
    rebuildRing();
    endpoints
        .values()
        .removeIf(
            endpoint ->
                endpoint.descriptor().status() == EndpointStatus.REMOVED
                    && endpoint.inFlight() == 0);
  }

  private Collection<EndpointDescriptor> changesOf(EndpointListUpdate update) {
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

  private void apply(EndpointDescriptor descriptor, long nowNanos) {
    Endpoint endpoint =
        endpoints.computeIfAbsent(
            descriptor.endpointId(),
            id ->
                new Endpoint(
                    id,
                    new ResponseStatistics(responseWindowNanos, nowNanos),
                    InFlightTime.newWindow(nowNanos)));
    if (descriptor.startedNanos() > endpoint.startedAtNanos()) {
      endpoint.restart(descriptor.startedNanos());
      endpoint.outlierState.reset();
      // Random, or balancers alike would all forward their first attempt at the same time.
      endpoint.slowStartState.reset(random.nextDouble(), nowNanos);
    }
    endpoint.describe(descriptor);
  }

  private void rebuildRing() {
    List<Endpoint> members =
        endpoints.values().stream()
            .filter(Endpoint::isReady)
            .sorted(Comparator.comparingLong(endpoint -> endpoint.id))
            .toList();
    readyCount = members.size();
    readyLoad = members.stream().mapToDouble(Endpoint::load).sum();
    localEndpointFraction = localEndpointFraction(members);
    if (medianWeight == 0 && readyCount > 0) {
      // Never recomputed, so that an update moves the keys of changed endpoints only.
      double[] weights =
          members.stream()
              .mapToDouble(endpoint -> endpoint.descriptor().weight())
              .sorted()
              .toArray();
      medianWeight = weights[readyCount / 2];
    }
    ring = new HashRing(members, this::ringPointsOf);
  }

  private double localEndpointFraction(List<Endpoint> members) {
    long local = members.stream().filter(this::isLocal).count();
    long zones = members.stream().map(endpoint -> endpoint.descriptor().zone()).distinct().count();
    return Math.min(1.0 / Math.max(1, local), (double) zones / Math.max(1, members.size()));
  }

  private long ringPointsOf(Endpoint endpoint) {
    boolean isSized =
        settings.weightKind() == WeightKind.NOMINAL || settings.weightKind() == WeightKind.ROUGH;
    if (!isSized || medianWeight <= 0) {
      return RING_POINTS_PER_ENDPOINT;
    }
    double relativeWeight =
        Math.min(
            MAX_RELATIVE_WEIGHT,
            Math.max(1 / MAX_RELATIVE_WEIGHT, endpoint.descriptor().weight() / medianWeight));
    return Math.round(RING_POINTS_PER_ENDPOINT * relativeWeight);
  }
}
