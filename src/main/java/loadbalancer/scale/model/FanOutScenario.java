package loadbalancer.scale.model;

import java.util.List;
import loadbalancer.scale.config.ChangeSettings;
import loadbalancer.scale.config.ScheduledEvent;

/**
 * One run of the fan-out model.
 *
 * @param settings the settings that all runs share
 * @param balancers the number of balancers
 * @param sampledBalancers how many of them have a real policy
 * @param changesPerSecond the rate of changed entries, apart from bursts
 * @param durationSeconds the simulated time in which changes enter
 * @param events what happens
 */
public record FanOutScenario(
    ChangeSettings settings,
    int balancers,
    int sampledBalancers,
    double changesPerSecond,
    double durationSeconds,
    List<ScheduledEvent> events) {}
