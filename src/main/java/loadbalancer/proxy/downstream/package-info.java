/**
 * Connections from clients: accepting, receiving requests, time limits, writing responses. All
 * state belongs to the event loop.
 */
package loadbalancer.proxy.downstream;
