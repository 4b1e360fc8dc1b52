package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.upstream.EndpointTable;

/**
 * The tables that attempts are looked up in.
 *
 * @param requests the open requests
 * @param endpoints the upstreams of the endpoint list
 */
record CoordinatorTables(OpenRequestTable requests, EndpointTable endpoints) {}
