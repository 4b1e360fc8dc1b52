/** The command line of the load balancer, with its entry point {@link CommandLine}. */
package loadbalancer;
