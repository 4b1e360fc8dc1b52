package loadbalancer.scale;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine.IVersionProvider;

/** Reads the version of the program from the properties that Maven puts in the jar. */
final class VersionProvider implements IVersionProvider {

  private static final String PROPERTIES =
      "/META-INF/maven/loadbalancer/load-balancer/pom.properties";
  private static final String UNKNOWN_VERSION = "unknown";

  @Override
  public String[] getVersion() throws IOException {
    Properties properties = new Properties();
    try (InputStream input = VersionProvider.class.getResourceAsStream(PROPERTIES)) {
      if (input != null) {
        properties.load(input);
      }
    }
    return new String[] {"load-balancer " + properties.getProperty("version", UNKNOWN_VERSION)};
  }
}
