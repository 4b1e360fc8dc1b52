package loadbalancer.policy.event;

/** An input of the policy. Events are handled in the order in which they occurred. */
public sealed interface Event
    permits AttemptCompleted,
        ClientDisconnected,
        EndpointListUpdate,
        HealthCheckCompleted,
        PeerMessageReceived,
        RequestArrived,
        ResponseStarted,
        TimerFired {}
