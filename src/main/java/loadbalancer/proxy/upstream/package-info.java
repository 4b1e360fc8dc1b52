/**
 * Connections to endpoints: pools, attempts and the reading of responses. All state belongs to the
 * event loop.
 */
package loadbalancer.proxy.upstream;
