/** Extensions of Netty's event loop and socket channels, and the balancer's clock. */
package loadbalancer.proxy.transport;
