package loadbalancer.proxy.upstream;

import java.util.function.BooleanSupplier;
import loadbalancer.proxy.http.ClientRequest;
import loadbalancer.proxy.transport.EpochClock;

/**
 * One attempt that the policy has decided to make: the request, its endpoint and its timeout.
 *
 * @param index the attempt's index, counted from 0 in forwarding order
 * @param endpointId the endpoint that the request is forwarded to
 * @param request the client's request
 * @param decidedAtNanos when the policy made the decision, on the {@link EpochClock}
 * @param timeoutNanos the attempt's timeout, counted from the decision
 * @param mayStillForward evaluated on the event loop immediately before the request is written. A
 *     connection may have to be opened between the decision and the write; if the condition no
 *     longer holds, nothing is sent.
 */
public record AttemptPlan(
    int index,
    long endpointId,
    ClientRequest request,
    long decidedAtNanos,
    long timeoutNanos,
    BooleanSupplier mayStillForward) {}
