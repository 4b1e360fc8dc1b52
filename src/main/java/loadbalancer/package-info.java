/**
 * The command line of the load balancer: the real balancer, the rehearsal of its start, and the
 * simulator's adapter.
 */
package loadbalancer;
