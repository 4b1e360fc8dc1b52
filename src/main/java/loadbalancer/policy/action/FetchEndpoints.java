package loadbalancer.policy.action;

/** Fetches the complete endpoint list once. */
public record FetchEndpoints() implements Action {}
