/** Requests and responses in the form in which the downstream and upstream sides exchange them. */
package loadbalancer.proxy.http;
