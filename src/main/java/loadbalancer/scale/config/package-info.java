/** The configuration file of a scale run. */
package loadbalancer.scale.config;
