/**
 * Connects load-balancing policies to the simulator, which sends batches of events and receives
 * actions as one JSON object per line on standard input and output.
 */
package loadbalancer.simulator;
