package review2;

/** Settings like those of a small deployment. Times are in milliseconds. */
final class Settings {

  private Settings() {}

  /** A request class. */
  static String category(
      String name, String effect, String scope, int aim, int deadline, int window) {
    return "{\"name\":\""
        + name
        + "\",\"effect\":\""
        + effect
        + "\",\"dedup-scope\":\""
        + scope
        + "\",\"aim-ns\":"
        + aim
        + "000000,\"deadline-ns\":"
        + deadline
        + "000000,\"window-ns\":"
        + window
        + "000000,\"gain\":3.0,\"late-worth\":0.5,\"stream\":false}";
  }

  /** All settings, with lists that are pushed or asked for. */
  static String of(boolean pushed, String... categories) {
    return "{\"me\":0,\"group-size\":1,\"zone\":\"a\",\"areas\":[\"a\"],\"kinds\":[\"m2\"],"
        + "\"service-type\":\"proxy\",\"stage\":0,\"tiers\":[\"plan-api\"],"
        + "\"weight-kind\":\"none\",\"counted-by\":\"request\",\"resolution-ns\":5000000,"
        + "\"registry-mode\":\""
        + (pushed ? "pushed" : "on_request")
        + "\",\"report\":{\"how\":\"none\",\"fields\":[]},\"projects\":[],"
        + "\"over-share-worth\":0.1,\"clients\":{\"marks-retry\":false},"
        + "\"domain\":{\"warm-keys\":false},"
        + "\"contract\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000,"
        + "\"cold-from\":0.14,\"drain-grace-ns\":500000000,\"fall-multiple\":4.0,"
        + "\"overload-for-ns\":1000000000,\"warm-within-ns\":24000000000},"
        + "\"limits\":{\"cancel\":true,\"conn-idle-ns\":15000000000,"
        + "\"connect-timeout-ns\":150000000,\"max-attempts\":4,"
        + "\"max-retry-after-ns\":1000000000,\"most-held\":20000,\"multiplex\":1,"
        + "\"peers\":false,\"probing\":false,\"retry-after\":true,\"second-copies\":false},"
        + "\"prices\":{\"cross-zone\":0.03,\"handshake\":0.02,\"late-fail\":0.08,\"waste\":0.3},"
        + "\"categories\":["
        + String.join(",", categories)
        + "]}";
  }
}
