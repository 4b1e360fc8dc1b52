/**
 * The table of open requests: passes events to the policy and carries out its actions. All state
 * belongs to the event loop.
 */
package loadbalancer.proxy.coordinator;
