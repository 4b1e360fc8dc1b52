/** The experiments of a scale run; each varies one size and reports what it measured. */
package loadbalancer.scale.experiment;
