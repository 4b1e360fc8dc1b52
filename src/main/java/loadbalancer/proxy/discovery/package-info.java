/**
 * Watches the endpoint list at the discovery service: {@link
 * loadbalancer.proxy.discovery.DiscoveryClient} keeps one watch active, {@code EndpointListWatch}
 * is the state machine of one, {@code EndpointListDecoder} reads its lists. All state belongs to
 * the event loop.
 */
package loadbalancer.proxy.discovery;
