/** The inputs of a policy: requests, completed attempts, timers and endpoint list updates. */
package loadbalancer.policy.event;
