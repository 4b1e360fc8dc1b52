/**
 * The outputs of a policy: forward, cancel, reject or fail requests, set timers and watch the
 * endpoint list.
 */
package loadbalancer.policy.action;
