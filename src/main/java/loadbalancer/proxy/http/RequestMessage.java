package loadbalancer.proxy.http;

import io.netty.handler.codec.http.HttpMethod;

/**
 * The parts of a client's HTTP request that are forwarded to the upstream unchanged.
 *
 * @param method the HTTP method
 * @param uri the path and the query, as received
 * @param host the {@code Host} header, empty if the request has none
 * @param idempotencyKey the {@code Idempotency-Key} header, or null if the request has none
 * @param contentType the {@code Content-Type} header, or null if the request has none
 * @param body the complete body, at most {@link UpstreamResponse#MAX_BODY_BYTES} long; must not be
 *     modified
 */
public record RequestMessage(
    HttpMethod method,
    String uri,
    String host,
    String idempotencyKey,
    String contentType,
    byte[] body) {}
