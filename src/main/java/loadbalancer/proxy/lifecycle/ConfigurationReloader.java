package loadbalancer.proxy.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.ProxyConfiguration;
import loadbalancer.proxy.telemetry.EventLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reads the configuration file again at each SIGHUP, which would otherwise end the JVM as SIGTERM
 * does. State and work belong to one thread of its own: the event loop must not wait for a file,
 * and with several threads an older reading could overtake a newer one.
 */
final class ConfigurationReloader {

  /**
   * Period of the polls where SIGHUP is ignored: short against the 1.5 s for which the old address
   * of the discovery service stays open after a reload.
   */
  private static final long POLL_PERIOD_MILLIS = 500;

  private final Map<String, String> environment;
  private final Consumer<ProxyConfiguration> onReload;

  /** The file's version at the last poll; null before the first. */
  private FileVersion polledVersion;

  /** What changes when a file is replaced or written. */
  private record FileVersion(Object fileKey, FileTime modified, long sizeBytes) {}

  private ConfigurationReloader(
      Map<String, String> environment, Consumer<ProxyConfiguration> onReload) {
    this.environment = environment;
    this.onReload = onReload;
  }

  /**
   * Handles SIGHUP from now on. An unusable configuration is logged and changes nothing.
   *
   * @param onReload gets each new configuration, on the thread of the reloader
   */
  static void install(Map<String, String> environment, Consumer<ProxyConfiguration> onReload) {
    ConfigurationReloader reloader = new ConfigurationReloader(environment, onReload);
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(ConfigurationReloader::newThread);
    SignalHandler previous =
        Signal.handle(new Signal("HUP"), signal -> executor.execute(reloader::reload));
    if (previous.equals(SignalHandler.SIG_IGN)) {
      // The JVM leaves a signal alone that was ignored at its start, as nohup does.
      EventLog.warn(
          "reload: polling started reason=SIGHUP ignored at start period_ms=" + POLL_PERIOD_MILLIS);
      reloader.detectChange();
      executor.scheduleWithFixedDelay(
          reloader::poll, POLL_PERIOD_MILLIS, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "reload");
    thread.setDaemon(true);
    return thread;
  }

  private void poll() {
    if (detectChange()) {
      reload();
    }
  }

  /**
   * Reads the file's version and remembers it; whether it differs from the one before. A missing
   * file is not a change: it is being replaced.
   */
  private boolean detectChange() {
    FileVersion previous = polledVersion;
    try {
      BasicFileAttributes attributes =
          Files.readAttributes(
              Path.of(environment.get(ProxyConfiguration.FILE_VARIABLE)),
              BasicFileAttributes.class);
      polledVersion =
          new FileVersion(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
      return !polledVersion.equals(previous);
    } catch (IOException missing) {
      return false;
    }
  }

  private void reload() {
    try {
      onReload.accept(ProxyConfiguration.readFileOnly(environment));
    } catch (IOException | RuntimeException invalid) {
      EventLog.warn("reload: configuration unchanged reason=" + invalid);
    }
  }
}
