package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * An endpoint and what this balancer has observed of it. Only {@link EndpointRegistry} changes the
 * descriptor, the start time and the load in flight; each of the other fields is maintained by the
 * class that its comment names.
 */
final class Endpoint {
  /** The endpoint's id in the endpoint list. */
  final long id;

  /** Statistics of its served attempts; maintained by {@link AttemptRecorder}. */
  final ResponseStatistics responses;

  /**
   * The time that its recent attempts were in flight; null until it gets one. Maintained by {@link
   * InFlightTime}.
   */
  SlidingWindow inFlightTime;

  /** Its state in {@link OutlierDetector}. */
  final OutlierDetector.State outlierState = new OutlierDetector.State();

  /** Its state in {@link SlowStart}. */
  final SlowStart.State slowStartState = new SlowStart.State();

  /** The last walk of the hash ring that visited it; set by {@link BoundedLoadPlacement}. */
  long lastWalkNumber;

  /** Its position in {@link InFlightEndpoints} while it has attempts in flight. */
  int inFlightIndex;

  /** Its slot in {@link RingMembers} while it owns points of the hash ring. */
  int ringSlot;

  /** The number of points of the hash ring that it owns; set by {@link HashRing}. */
  int ringPointCount;

  private EndpointDescriptor descriptor;
  private long startedAtNanos;
  private int inFlight;
  private double load;

  /** Creates an endpoint; {@link #setDescriptor} must be called before it is used. */
  Endpoint(long id, ResponseStatistics responses) {
    this.id = id;
    this.responses = responses;
  }

  /** Its latest entry in the endpoint list. */
  EndpointDescriptor descriptor() {
    return descriptor;
  }

  /** Whether it takes new requests, according to the endpoint list. */
  boolean isReady() {
    return descriptor.status() == EndpointStatus.READY;
  }

  /** When it last started, on the balancer's clock; 0 if that was long ago. */
  long startedAtNanos() {
    return startedAtNanos;
  }

  /** The number of this balancer's attempts in flight at the endpoint. */
  int inFlight() {
    return inFlight;
  }

  /** The load of those attempts, in average requests. */
  double load() {
    return load;
  }

  /** Replaces the descriptor with a newer entry of the endpoint list. */
  void setDescriptor(EndpointDescriptor latest) {
    descriptor = latest;
  }

  /** Records that the endpoint restarted, at a reading of the balancer's clock. */
  void recordRestart(long atNanos) {
    startedAtNanos = atNanos;
  }

  /** Counts an attempt of the given load as in flight. */
  void addAttempt(double attemptLoad) {
    inFlight++;
    load += attemptLoad;
  }

  /** Counts an attempt of the given load as completed. */
  void removeAttempt(double attemptLoad) {
    inFlight--;
    if (inFlight == 0) {
      // Discards the accumulated rounding error.
      load = 0;
    } else {
      load -= attemptLoad;
    }
  }
}
