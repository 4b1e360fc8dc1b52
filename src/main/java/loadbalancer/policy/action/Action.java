package loadbalancer.policy.action;

/** What the policy asks the balancer to do; actions are carried out in the order given. */
public sealed interface Action
    permits CancelAttempt,
        CheckHealth,
        CloseIdleConnections,
        FailRequest,
        FetchEndpoints,
        ForwardAttempt,
        LogMessage,
        RejectRequest,
        SendPeerMessage,
        SetTimer,
        WatchEndpoints {}
