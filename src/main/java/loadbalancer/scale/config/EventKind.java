package loadbalancer.scale.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What happens while a change is on its way; the delays of changes are reported by kind. */
public enum EventKind {
  /** Nothing but the changes themselves. */
  @JsonProperty("steady")
  STEADY("steady"),
  /** Many entries change at once. */
  @JsonProperty("burst")
  BURST("burst"),
  /** A control machine fails and returns. */
  @JsonProperty("machine-failure")
  MACHINE_FAILURE("machine-failure"),
  /** A region is cut off from the others, and connected again. */
  @JsonProperty("region-cut")
  REGION_CUT("region-cut"),
  /** All control machines are restarted together. */
  @JsonProperty("tier-restart")
  TIER_RESTART("tier-restart"),
  /** All agents of a zone are restarted together without a list. */
  @JsonProperty("zone-restart")
  ZONE_RESTART("zone-restart");

  private final String text;

  EventKind(String text) {
    this.text = text;
  }

  /** The name of the kind in the configuration and the report. */
  public String text() {
    return text;
  }
}
