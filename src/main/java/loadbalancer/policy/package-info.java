/**
 * The load-balancing policy of one balancer. It decides on admission, placement, retries, hedging
 * and rejection, and on when to watch the endpoint list. It is deterministic: it uses no clock,
 * thread or I/O, and no source of randomness but its seed.
 */
package loadbalancer.policy;
