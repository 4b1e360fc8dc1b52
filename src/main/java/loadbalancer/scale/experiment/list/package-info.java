/**
 * The experiment "list": the endpoint list as discovery sends it, and the real classes of a
 * balancer that receive it.
 */
package loadbalancer.scale.experiment.list;
