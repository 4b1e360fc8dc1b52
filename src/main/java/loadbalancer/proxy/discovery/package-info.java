/** The watch of the endpoint list at the discovery service. All state belongs to the event loop. */
package loadbalancer.proxy.discovery;
