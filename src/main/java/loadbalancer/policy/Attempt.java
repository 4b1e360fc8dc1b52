package loadbalancer.policy;

/** One attempt of a request: its first, a retry or a hedged request. */
final class Attempt {
  /** Where the attempt was forwarded to. */
  final Endpoint endpoint;

  /** When it was forwarded. */
  final long forwardedAtNanos;

  /** The in-flight time that was charged in advance, settled when the attempt completes. */
  final double chargedNanos;

  /** Whether its completion is still to come. */
  boolean isInFlight = true;

  /** Whether the endpoint may have run the request; true until a completion proves otherwise. */
  boolean mayHaveRun = true;

  /** An attempt that is in flight from now on. */
  Attempt(Endpoint endpoint, long forwardedAtNanos, double chargedNanos) {
    this.endpoint = endpoint;
    this.forwardedAtNanos = forwardedAtNanos;
    this.chargedNanos = chargedNanos;
  }
}
