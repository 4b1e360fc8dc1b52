package loadbalancer.policy.event;

/** What happened to a balancer, in the order in which it happened. */
public sealed interface Event
    permits AttemptCompleted,
        ClientDisconnected,
        EndpointListUpdate,
        HealthCheckCompleted,
        PeerMessageReceived,
        RequestArrived,
        ResponseStarted,
        TimerFired {}
