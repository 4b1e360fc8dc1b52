/**
 * The life of a proxy: the process and its signals, the server that puts the parts together,
 * warm-up, reload of the configuration, graceful shutdown.
 */
package loadbalancer.proxy.lifecycle;
