package loadbalancer.scale.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How the control machines replicate changes among each other. */
public enum Replication {
  /** Each control machine watches the leader. */
  @JsonProperty("direct")
  DIRECT,
  /** One control machine of each region watches the leader; the others of the region watch it. */
  @JsonProperty("regional-tree")
  REGIONAL_TREE
}
