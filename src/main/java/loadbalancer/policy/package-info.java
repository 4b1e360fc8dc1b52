/**
 * Every decision of one balancer: admission, placement, retries, hedging, rejection and how the
 * endpoint list is followed. Deterministic: no clock, no thread, no I/O, and no randomness but the
 * seed.
 */
package loadbalancer.policy;
