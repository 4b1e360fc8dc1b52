package loadbalancer.scale.experiment.list;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.scale.config.ListSettings;
import loadbalancer.scale.report.Basis;
import loadbalancer.scale.report.Fact;

/** The facts of the experiment: costs at the largest size, and how they compare to the limits. */
public final class ListFacts {

  private static final String LIMIT_SUFFIX = "-of-limit";
  private static final String FRACTION = "fraction of limit";

  private final ListSettings settings;

  /** Creates the facts for the limits of the settings. */
  public ListFacts(ListSettings settings) {
    this.settings = settings;
  }

  /** Returns the facts for the costs at the largest size. */
  public List<Fact> of(List<Cost> costs) {
    List<Fact> facts = new ArrayList<>();
    for (Cost cost : costs) {
      switch (cost.name()) {
        case CostNames.FULL_LIST_BYTES, CostNames.CHANGE_BYTES, CostNames.CHOSEN_ENDPOINTS ->
            facts.add(fact(cost));
        case CostNames.FULL_LIST_TOTAL,
                CostNames.CHANGE_P99,
                CostNames.CHANGE_MAX,
                CostNames.BURST_ONE_UPDATE,
                CostNames.BURST_LONGEST_SLICE,
                CostNames.PLACEMENT_P99,
                CostNames.TIMER_P99 ->
            addWithLimit(facts, cost, settings.stretchLimitMs());
        case CostNames.POLICY_HEAP -> addWithLimit(facts, cost, settings.policyHeapLimitMb());
        case CostNames.KEPT_HEAP, CostNames.PEAK_HEAP ->
            addWithLimit(facts, cost, settings.heapLimitMb());
        default -> {
          // The report has these costs as series only.
        }
      }
    }
    return facts;
  }

  private static Fact fact(Cost cost) {
    return new Fact(cost.name(), cost.value(), cost.unit(), cost.basis());
  }

  private static void addWithLimit(List<Fact> facts, Cost cost, double limit) {
    facts.add(fact(cost));
    facts.add(new Fact(cost.name() + LIMIT_SUFFIX, cost.value() / limit, FRACTION, Basis.DERIVED));
  }
}
