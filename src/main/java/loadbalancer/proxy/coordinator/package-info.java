/**
 * The life of a request: the table of open requests, the events that the policy is notified of and
 * the carrying out of its actions. All state belongs to the event loop.
 */
package loadbalancer.proxy.coordinator;
