/**
 * Request coordination: the table of open requests, the events that the policy is notified of, and
 * the classes that carry out its actions. All state is confined to the event loop thread.
 */
package loadbalancer.proxy.coordinator;
