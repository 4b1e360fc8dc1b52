/**
 * What a balancer tells its policy: requests, completed attempts, timers and endpoint list updates.
 */
package loadbalancer.policy.event;
