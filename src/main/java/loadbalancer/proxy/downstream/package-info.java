/**
 * Client connections: accepting them, receiving requests, enforcing time limits and writing
 * responses. All state is confined to the event loop.
 */
package loadbalancer.proxy.downstream;
