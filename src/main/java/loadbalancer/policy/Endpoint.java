package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * One endpoint, with what this balancer has observed of it. The descriptor and the counts of what
 * is in flight are written through {@link EndpointRegistry}; each other part belongs to the class
 * that its comment names.
 */
final class Endpoint {
  /** The endpoint's number in the endpoint list. */
  final long id;

  /** What its served attempts showed. */
  final ResponseStatistics responses;

  /** Its part of {@link InFlightTime}. */
  final SlidingWindow inFlightTime;

  /** What {@link OutlierDetector} knows of it. */
  final OutlierDetector.State outlierState = new OutlierDetector.State();

  /** What {@link SlowStart} keeps for it. */
  final SlowStart.State slowStartState = new SlowStart.State();

  /** The last walk of the hash ring that came by; belongs to {@link BoundedLoadPlacement}. */
  long lastWalk;

  private EndpointDescriptor descriptor;
  private long startedAtNanos;
  private int inFlight;
  private double load;

  /** An endpoint that was not heard of before. */
  Endpoint(long id, ResponseStatistics responses, SlidingWindow inFlightTime) {
    this.id = id;
    this.responses = responses;
    this.inFlightTime = inFlightTime;
  }

  /** Its latest entry in the endpoint list. */
  EndpointDescriptor descriptor() {
    return descriptor;
  }

  /** Whether it takes new requests, by the endpoint list. */
  boolean isReady() {
    return descriptor.status() == EndpointStatus.READY;
  }

  /** When it last started, on the balancer's clock; 0 for long ago. */
  long startedAtNanos() {
    return startedAtNanos;
  }

  /** This balancer's attempts in flight at it. */
  int inFlight() {
    return inFlight;
  }

  /** The load of the attempts in flight, in average requests. */
  double load() {
    return load;
  }

  /** Takes over an entry of the endpoint list. */
  void describe(EndpointDescriptor latest) {
    descriptor = latest;
  }

  /** Notes that the endpoint restarted. */
  void restart(long atNanos) {
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
      // No rounding error is carried on.
      load = 0;
    } else {
      load -= attemptLoad;
    }
  }
}
