/** The settings of a policy, as records that are checked when the policy's settings are built. */
package loadbalancer.policy.settings;
