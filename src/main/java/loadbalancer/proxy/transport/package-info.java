/** The parts of the event loop, sockets and clock that Netty and the JDK do not bring. */
package loadbalancer.proxy.transport;
