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
 * Reloads the configuration file on SIGHUP. Without a handler, SIGHUP would terminate the JVM.
 *
 * <p>All reads run on one dedicated thread, which also owns the state. File I/O would block the
 * event loop, and with several threads the result of an older read could replace that of a newer
 * one.
 */
final class ConfigurationReloader {

  /**
   * Period at which the file is polled for changes if SIGHUP is ignored. It is short compared with
   * the 1.5 s for which the old address of the discovery service stays open after a reload.
   */
  private static final long POLL_PERIOD_MILLIS = 500;

  private final Map<String, String> environment;
  private final Consumer<ProxyConfiguration> onReload;

  /** The version seen by the last poll that found the file; null before that. */
  private FileVersion lastVersion;

  /** The file attributes that change when the file is replaced or written. */
  private record FileVersion(Object fileKey, FileTime modified, long sizeBytes) {}

  private ConfigurationReloader(
      Map<String, String> environment, Consumer<ProxyConfiguration> onReload) {
    this.environment = environment;
    this.onReload = onReload;
  }

  /**
   * Installs the SIGHUP handler, or starts to poll the file if SIGHUP is ignored. If the new
   * configuration cannot be read or is invalid, a warning is logged and the current one stays in
   * effect.
   *
   * @param environment the PROXY_ environment variables, of which PROXY_CONFIG names the file
   * @param onReload receives each new configuration, on the reload thread
   */
  static void install(Map<String, String> environment, Consumer<ProxyConfiguration> onReload) {
    ConfigurationReloader reloader = new ConfigurationReloader(environment, onReload);
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(ConfigurationReloader::newThread);
    SignalHandler previous =
        Signal.handle(new Signal("HUP"), signal -> executor.execute(reloader::reload));
    if (previous.equals(SignalHandler.SIG_IGN)) {
      // The JVM does not handle a signal that was ignored when it started, for example by nohup.
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
   * Updates {@link #lastVersion} and returns whether it changed. A file that cannot be accessed
   * does not count as a change: it is missing while it is being replaced.
   */
  private boolean detectChange() {
    FileVersion previous = lastVersion;
    try {
      BasicFileAttributes attributes =
          Files.readAttributes(
              Path.of(environment.get(ProxyConfiguration.FILE_VARIABLE)),
              BasicFileAttributes.class);
      lastVersion =
          new FileVersion(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
      return !lastVersion.equals(previous);
    } catch (IOException inaccessible) {
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
