package loadbalancer.scale.config;

/**
 * How often each kind of change to an entry of the endpoint list occurs, relative to the others.
 *
 * @param restart an endpoint is in service again after a restart
 * @param drain an endpoint stops accepting requests
 * @param removal an endpoint leaves the list
 * @param addition a new endpoint joins the list
 */
public record EntryChangeMix(double restart, double drain, double removal, double addition) {

  /** Checks the ranges of the fields. */
  public EntryChangeMix {
    FieldCheck.atLeast("restart", 0, restart);
    FieldCheck.atLeast("drain", 0, drain);
    FieldCheck.atLeast("removal", 0, removal);
    FieldCheck.atLeast("addition", 0, addition);
    FieldCheck.aboveZero(
        "the sum of restart, drain, removal and addition", restart + drain + removal + addition);
    if (removal > addition) {
      // The list would run empty.
      throw FieldCheck.invalid("removal", "at most addition (" + addition + ")", "" + removal);
    }
  }

  /** The sum of the frequencies. */
  public double total() {
    return restart + drain + removal + addition;
  }
}
