package loadbalancer.scale.report;

/** How a value was obtained. */
public enum Basis {
  /** Measured on the program itself, such as its processor time or its heap. */
  MEASURED,
  /** Counted in the model, with the real decisions of the policy. */
  SIMULATED,
  /** Computed from other values. */
  DERIVED
}
