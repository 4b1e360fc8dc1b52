/**
 * The life of a balancer process: start, warm-up, reload of the configuration, graceful shutdown.
 */
package loadbalancer.proxy.lifecycle;
