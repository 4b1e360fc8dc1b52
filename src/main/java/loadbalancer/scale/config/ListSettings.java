package loadbalancer.scale.config;

import java.util.List;

/**
 * The settings of the experiment "list".
 *
 * @param sizes the sizes of the endpoint list, in increasing order
 * @param zones the number of zones that the endpoints are spread over
 * @param services the number of services that the endpoints are spread over
 * @param warmUpRounds how often the smallest size is measured before the measurement starts, so
 *     that the JVM has compiled the code
 * @param repetitions how often each value is measured; the result is the median
 * @param changes the number of single changed entries at each size
 * @param changeMix the kinds of the changed entries
 * @param burst the number of entries that change at once; measured at the sizes that are at least
 *     as large
 * @param slice the number of entries of a burst that are applied at a stretch
 * @param requests the number of requests placed at each size
 * @param heapEntries the smallest number of entries over which heap is measured; a list that is
 *     smaller is created several times
 * @param stretchLimitMs the longest time that the balancer may spend at a stretch
 * @param heapLimitMb the most heap that the balancer may use for control
 * @param policyHeapLimitMb the most heap that the policy may use for the list
 */
public record ListSettings(
    List<Integer> sizes,
    int zones,
    int services,
    int warmUpRounds,
    int repetitions,
    int changes,
    EntryChangeMix changeMix,
    int burst,
    int slice,
    int requests,
    int heapEntries,
    double stretchLimitMs,
    double heapLimitMb,
    double policyHeapLimitMb) {

  /** Checks the ranges of the fields. */
  public ListSettings {
    FieldCheck.present("sizes", sizes);
    FieldCheck.present("change-mix", changeMix);
    sizes = List.copyOf(sizes);
    checkSizes(sizes);
    FieldCheck.atLeast("zones", 1, zones);
    FieldCheck.atLeast("services", 1, services);
    FieldCheck.atLeast("warm-up-rounds", 0, warmUpRounds);
    FieldCheck.atLeast("repetitions", 1, repetitions);
    FieldCheck.atLeast("changes", 1, changes);
    FieldCheck.atLeast("burst", 1, burst);
    FieldCheck.atLeast("slice", 1, slice);
    FieldCheck.atLeast("requests", 1, requests);
    FieldCheck.atLeast("heap-entries", 1, heapEntries);
    FieldCheck.aboveZero("stretch-limit-ms", stretchLimitMs);
    FieldCheck.aboveZero("heap-limit-mb", heapLimitMb);
    FieldCheck.aboveZero("policy-heap-limit-mb", policyHeapLimitMb);
  }

  private static void checkSizes(List<Integer> sizes) {
    if (sizes.isEmpty()) {
      throw FieldCheck.invalid("sizes", "at least one size", "none");
    }
    int previous = 0;
    for (int size : sizes) {
      if (size <= previous) {
        throw FieldCheck.invalid("sizes", "increasing sizes above 0", sizes.toString());
      }
      previous = size;
    }
  }
}
