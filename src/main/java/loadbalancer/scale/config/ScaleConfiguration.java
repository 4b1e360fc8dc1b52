package loadbalancer.scale.config;

import java.util.Optional;

/**
 * The configuration of a scale run. An experiment runs if its settings are present.
 *
 * @param seed determines everything that is random in the run
 * @param list the settings of the experiment "list"
 * @param cold the settings of the experiment "cold"
 * @param change the settings of the experiment "change"
 */
public record ScaleConfiguration(
    long seed,
    Optional<ListSettings> list,
    Optional<ColdSettings> cold,
    Optional<ChangeSettings> change) {}
