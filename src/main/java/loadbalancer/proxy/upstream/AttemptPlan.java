package loadbalancer.proxy.upstream;

import java.util.function.BooleanSupplier;
import loadbalancer.proxy.http.ClientRequest;

/**
 * The policy's decision to forward a request, as one attempt carries it out.
 *
 * @param index the attempt's index, counted from 0 in forwarding order
 * @param endpointId the endpoint that the request is forwarded to
 * @param request the request
 * @param decidedAtNanos when the policy decided, on the balancer's clock
 * @param timeoutNanos how long the attempt may take from then on
 * @param mayStillForward asked on the event loop right before the first byte is written, which may
 *     be a connect later than the decision; if false, nothing is sent
 */
public record AttemptPlan(
    int index,
    long endpointId,
    ClientRequest request,
    long decidedAtNanos,
    long timeoutNanos,
    BooleanSupplier mayStillForward) {}
