/**
 * Watches the endpoint list of the discovery service. {@link
 * loadbalancer.proxy.discovery.DiscoveryClient} manages the active watch, {@code EndpointListWatch}
 * is the state machine of one watch, and {@code EndpointListDecoder} parses its response into
 * lists. Nothing here is thread-safe: all of it runs on the event loop.
 */
package loadbalancer.proxy.discovery;
