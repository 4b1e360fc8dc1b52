/** The log, the traffic counters and the measured lag of the event loop. */
package loadbalancer.proxy.telemetry;
