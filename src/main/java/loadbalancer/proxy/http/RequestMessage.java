package loadbalancer.proxy.http;

import io.netty.handler.codec.http.HttpMethod;

/**
 * The parts of a client's HTTP request that are forwarded to an upstream unchanged.
 *
 * @param method the HTTP method
 * @param uri path and query, as received
 * @param host the {@code Host} header, empty where there is none
 * @param idempotencyKey the {@code Idempotency-Key} header, or null
 * @param contentType the {@code Content-Type} header, or null
 * @param body the complete body, at most {@link UpstreamResponse#MAX_BODY_BYTES} long; not to be
 *     modified
 */
public record RequestMessage(
    HttpMethod method,
    String uri,
    String host,
    String idempotencyKey,
    String contentType,
    byte[] body) {}
