/**
 * The upstream side of the proxy: endpoints, connection pools, attempts and the decoding of
 * responses. All mutable state is confined to the event loop.
 */
package loadbalancer.proxy.upstream;
