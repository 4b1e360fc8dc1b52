package loadbalancer.policy;

/** One attempt of a request: its first, a retry or a hedged request. */
final class Attempt {
  /** The endpoint that the attempt was forwarded to. */
  final Endpoint endpoint;

  /** When the attempt was forwarded. */
  final long forwardedAtNanos;

  /**
   * The expected time in flight, which {@link InFlightTime} adds when the attempt starts and
   * corrects when it completes.
   */
  final double chargedNanos;

  /** Whether the attempt has not completed yet. */
  boolean isInFlight = true;

  /** Whether the endpoint may have run the request; true until a completion proves otherwise. */
  boolean mayHaveRun = true;

  /** Creates an attempt that is in flight. */
  Attempt(Endpoint endpoint, long forwardedAtNanos, double chargedNanos) {
    this.endpoint = endpoint;
    this.forwardedAtNanos = forwardedAtNanos;
    this.chargedNanos = chargedNanos;
  }
}
