/**
 * Reads JSON: the platform's configuration, the endpoint lists of discovery and the policy's
 * settings. With the simulator package, the one place that knows the field names of the wire.
 */
package loadbalancer.config;
