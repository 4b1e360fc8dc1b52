package loadbalancer.proxy.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.List;
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
 * SIGHUP: reads the configuration again. Without it Java's answer to that signal is to end, as at
 * SIGTERM.
 */
final class ConfigurationReloader {

  /**
   * Period of the looks where no signal can come: short against the 1.5 s that discovery's old
   * address stays.
   */
  private static final long LOOK_MILLIS = 500;

  private final Map<String, String> environment;
  private final Consumer<ProxyConfiguration> next;

  /** What the file was when it was last looked at. */
  private List<Object> seen = List.of();

  private ConfigurationReloader(
      Map<String, String> environment, Consumer<ProxyConfiguration> next) {
    this.environment = environment;
    this.next = next;
  }

  /**
   * Hands over a new configuration at each SIGHUP; one that is no good costs a line of the log and
   * changes nothing. A thread of its own reads the file, since the event loop must not wait for it,
   * and one alone, or an older reading could overtake a newer one.
   */
  static void onHangup(Map<String, String> environment, Consumer<ProxyConfiguration> next) {
    ConfigurationReloader reload = new ConfigurationReloader(environment, next);
    ScheduledExecutorService reader =
        Executors.newSingleThreadScheduledExecutor(
            work -> {
              Thread thread = new Thread(work, "reload");
              thread.setDaemon(true);
              return thread;
            });
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reader.execute(reload::read));
    if (before.equals(SignalHandler.SIG_IGN)) {
      // Java leaves a signal alone that its parent ignored, as nohup does, and nothing in Java can
      // change that.
      EventLog.info(
          "reload: started with SIGHUP ignored, so the configuration is read again when its file"
              + " changes");
      reload.changed();
      reader.scheduleWithFixedDelay(
          reload::readIfChanged, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void readIfChanged() {
    if (changed()) {
      read();
    }
  }

  /**
   * Whether the file is another one or was written since the last look; one that is missing is on
   * its way.
   */
  private boolean changed() {
    try {
      BasicFileAttributes file =
          Files.readAttributes(
              Path.of(environment.get(ProxyConfiguration.FILE_VARIABLE)),
              BasicFileAttributes.class);
      List<Object> before = seen;
      seen = Arrays.asList(file.fileKey(), file.lastModifiedTime(), file.size());
      return !seen.equals(before);
    } catch (IOException e) {
      return false;
    }
  }

  private void read() {
    try {
      next.accept(ProxyConfiguration.readFileOnly(environment));
    } catch (IOException | RuntimeException e) {
      EventLog.info("reload: the configuration stays as it was: " + e);
    }
  }
}
