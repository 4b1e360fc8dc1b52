/**
 * Lifecycle of the proxy process: start and signal handling, the server that connects the
 * components, warm-up, configuration reload and graceful shutdown.
 */
package loadbalancer.proxy.lifecycle;
