package loadbalancer.scale.experiment;

import java.util.List;
import loadbalancer.scale.model.OverloadBudget;

/**
 * What one {@link ColdTrial} measured.
 *
 * @param attemptsPerSecond the attempts at the restarted upstream in each second since its start
 * @param rateBeforeRestart the attempts per second at the upstream before its restart
 * @param firstAttemptSeconds the time from the start to the first attempt; the observed time if
 *     there was none
 * @param usedShare the attempts served during the warm-up, divided by the capacity that the warming
 *     upstream offered, of which no more than its fair share of the traffic counts
 * @param usedShareOfProportional the attempts served during the warm-up, divided by the upstream's
 *     fair share of the traffic times its fraction of its capacity
 * @param overload the overload windows of the warm-up
 * @param rejectedByUpstream the attempts that the restarted upstream rejected during the warm-up
 * @param before the requests between the settling of the fleet and the restart
 * @param during the requests of the warm-up
 * @param arrivedRequests all requests
 * @param attempts all attempts
 * @param requestProcessorMicros the processor time of the policy for one request, after settling
 * @param updateProcessorMicros the processor time of the policy for one endpoint list update
 */
record ColdTrialResult(
    List<Long> attemptsPerSecond,
    double rateBeforeRestart,
    double firstAttemptSeconds,
    double usedShare,
    double usedShareOfProportional,
    OverloadBudget.Usage overload,
    long rejectedByUpstream,
    ColdPhase before,
    ColdPhase during,
    long arrivedRequests,
    long attempts,
    double requestProcessorMicros,
    double updateProcessorMicros) {}
