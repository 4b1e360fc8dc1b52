/**
 * The model of the fleet in simulated time: balancers that make their decisions with the real
 * policy, upstreams, discovery, and the arrival of requests. Deterministic for a given seed.
 */
package loadbalancer.scale.model;
