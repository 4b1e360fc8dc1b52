package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * One endpoint, with what this balancer has observed of it. The descriptor and the counts of what
 * is in flight are written through {@link EndpointRegistry}; each other part belongs to the class
 * that it is named for.
 */
final class Endpoint {
  /** The endpoint's number in the endpoint list. */
  final long id;

  /** What its served attempts showed. */
  final SlidingWindow window;

  /** Its part of {@link InFlightTime}. */
  final SlidingWindow inFlightTime;

  final TokenBucket slowStart = new TokenBucket();

  /** The part of a send that requests for it have earned while it is cold. */
  double slowStartEarned;

  long firstServed;
  long heardAt;
  int failures;
  int ejections;
  long ejectedUntil;
  boolean onTrial;

  /** The last walk of the hash ring that came by; belongs to {@link BoundedLoadPlacement}. */
  long lastWalk;

  private EndpointDescriptor descriptor;
  private long startedAtNanos;
  private int inFlight;
  private double load;

  /** An endpoint that was not heard of before. */
  Endpoint(long id, SlidingWindow window, SlidingWindow inFlightTime) {
    this.id = id;
    this.window = window;
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
