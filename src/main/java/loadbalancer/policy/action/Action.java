package loadbalancer.policy.action;

/** An output of the policy. The balancer carries out actions in the order in which it gets them. */
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
