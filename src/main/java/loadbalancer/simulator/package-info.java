/**
 * Runs many policies on the simulator's wire, which is one JSON object a line on standard input and
 * output.
 */
package loadbalancer.simulator;
