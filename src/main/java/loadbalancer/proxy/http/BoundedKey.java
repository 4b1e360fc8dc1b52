package loadbalancer.proxy.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Bounds the length of affinity keys and request ids. Thousands of them are kept long after the
 * requests that named them have ended.
 */
public final class BoundedKey {

  /** Longer keys are replaced by their digest, which has this length. */
  public static final int MAX_CHARS = 64;

  private BoundedKey() {}

  /**
   * Returns the key that stands for the key or id of a request: itself, or its SHA-256 digest if it
   * is long. All balancers derive the same one.
   *
   * @param key the key as received; null if the request has none
   */
  public static String of(String key) {
    if (key == null || key.length() <= MAX_CHARS) {
      return key;
    }
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
