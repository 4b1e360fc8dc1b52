package loadbalancer.scale.experiment.list;

/** The names of the costs that facts are derived from. */
public final class CostNames {

  /** The bytes of the full list. */
  public static final String FULL_LIST_BYTES = "full-list-bytes";

  /** The bytes of a change of one entry. */
  public static final String CHANGE_BYTES = "change-bytes";

  /** The time to parse the full list and to give it to the table and the policy. */
  public static final String FULL_LIST_TOTAL = "full-list-total";

  /** The 99th percentile of the time of a change of one entry. */
  public static final String CHANGE_P99 = "change-p99";

  /** The longest time of a change of one entry. */
  public static final String CHANGE_MAX = "change-max";

  /** The time to give a burst to the table and the policy as one update. */
  public static final String BURST_ONE_UPDATE = "burst-one-update";

  /** The longest time of a slice of a burst. */
  public static final String BURST_LONGEST_SLICE = "burst-longest-slice";

  /** The 99th percentile of the time to place a request. */
  public static final String PLACEMENT_P99 = "placement-p99";

  /** The 99th percentile of the time of a timer of the policy. */
  public static final String TIMER_P99 = "timer-p99";

  /** The heap of the policy. */
  public static final String POLICY_HEAP = "heap-policy";

  /** The heap of the table and the policy. */
  public static final String KEPT_HEAP = "heap-table-and-policy";

  /** The heap of table and policy, and of a full list that is being received. */
  public static final String PEAK_HEAP = "heap-while-receiving";

  /** The number of endpoints that requests were placed on. */
  public static final String CHOSEN_ENDPOINTS = "chosen-endpoints";

  private CostNames() {}
}
