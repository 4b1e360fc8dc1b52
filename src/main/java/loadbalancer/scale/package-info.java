/**
 * The scale run: a model of a large fleet that shows how the cost of balancers, discovery and
 * upstreams grows with the size of the fleet. {@link loadbalancer.scale.ScaleCommand} is its
 * command line. It has a jar of its own, and no other package uses it.
 */
package loadbalancer.scale;
