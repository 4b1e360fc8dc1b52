package loadbalancer.scale.model;

/**
 * An entry of the list.
 *
 * @param index identifies the entry
 * @param status its status on the wire
 * @param weight its weight
 */
record EndpointEntry(int index, String status, double weight) {

  /** The status of an entry that takes requests. */
  static final String IN_SERVICE = "in_service";

  /** The status of an entry that is about to stop. */
  static final String TERMINATING = "terminating";

  /** The status of an entry that has left the list. */
  static final String TERMINATED = "terminated";

  /** The number of zones that the entries are spread over. */
  static final int ZONES = 21;

  private static final int OCTET = 256;
  private static final int GROUPS = 1_700;

  /** The name of the entry on the wire. */
  String name() {
    return String.format("s-%08x", index);
  }

  /** Appends the entry in JSON, as discovery sends it. */
  void appendTo(StringBuilder json) {
    json.append("{\"name\":\"").append(name());
    json.append("\",\"address\":\"10.").append(index / OCTET / OCTET % OCTET);
    json.append('.').append(index / OCTET % OCTET);
    json.append('.').append(index % OCTET).append(":5000");
    json.append("\",\"zone\":\"z").append(index % ZONES);
    json.append("\",\"type\":\"m2\",\"group\":").append(index % GROUPS);
    json.append(",\"status\":\"").append(status);
    json.append("\",\"weight\":").append(weight).append(",\"since_ms\":0}");
  }
}
