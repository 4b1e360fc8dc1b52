/** HTTP messages as the proxy holds them between its client side and its upstream side. */
package loadbalancer.proxy.http;
