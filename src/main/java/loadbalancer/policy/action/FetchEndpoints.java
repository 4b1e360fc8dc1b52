package loadbalancer.policy.action;

/** Fetch the complete endpoint list once. */
public record FetchEndpoints() implements Action {}
