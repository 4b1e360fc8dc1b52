/**
 * Reads JSON: the configuration file, the endpoint lists of the discovery service and the policy's
 * settings. Only this package and the simulator package depend on JSON field names.
 */
package loadbalancer.config;
