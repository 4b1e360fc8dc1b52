/**
 * Connections from clients: accepting, reading requests, time limits, writing answers. All state
 * belongs to the event loop.
 */
package loadbalancer.proxy.downstream;
