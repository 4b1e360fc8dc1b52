/**
 * What a policy asks its balancer to do: forward, cancel, reject or fail requests, set timers,
 * watch the endpoint list.
 */
package loadbalancer.policy.action;
