/** Telemetry of the proxy: event log, traffic counters and event-loop lag. */
package loadbalancer.proxy.telemetry;
