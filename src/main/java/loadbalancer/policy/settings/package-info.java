/** The settings that a policy is made with, as immutable and checked values. */
package loadbalancer.policy.settings;
