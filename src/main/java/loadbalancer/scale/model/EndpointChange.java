package loadbalancer.scale.model;

import loadbalancer.scale.config.EventKind;

/**
 * A change of one entry of the list.
 *
 * @param version the version of the list after the change
 * @param entry the state of the entry after the change
 * @param enteredNanos when the change was given to discovery
 * @param kind what happened at that time
 */
record EndpointChange(long version, EndpointEntry entry, long enteredNanos, EventKind kind) {}
