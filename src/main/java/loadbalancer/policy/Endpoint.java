package loadbalancer.policy;

import loadbalancer.policy.event.EndpointDescriptor;

/** What a balancer knows of an upstream. */
final class Endpoint {
  final long id;
  final SlidingWindow window;

  /** In-flight time over the long window of bounded load. */
  final SlidingWindow busy;

  final TokenBucket slowStart = new TokenBucket();

  /** The part of a send that requests for it have earned while it is cold. */
  double slowStartEarned;

  EndpointDescriptor listed;
  long started;
  long firstServed;
  long heardAt;
  int inFlight;
  double load;
  int failures;
  int ejections;
  long ejectedUntil;
  boolean onTrial;
  long visit;

  Endpoint(long id, SlidingWindow window, SlidingWindow busy) {
    this.id = id;
    this.window = window;
    this.busy = busy;
  }
}
