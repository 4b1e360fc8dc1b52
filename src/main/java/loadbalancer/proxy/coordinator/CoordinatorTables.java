package loadbalancer.proxy.coordinator;

import loadbalancer.proxy.upstream.EndpointTable;

/**
 * The tables in which the request and the endpoint of an attempt are looked up.
 *
 * @param requests the open requests
 * @param endpoints the upstream endpoints, including removed ones that still have attempts in
 *     flight
 */
record CoordinatorTables(OpenRequestTable requests, EndpointTable endpoints) {}
