package loadbalancer.scale;

import java.util.Optional;
import java.util.function.DoubleConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shows the progress of an experiment: as a bar if the process runs on a terminal, otherwise by a
 * line of the log for each tenth.
 */
final class ProgressDisplay implements DoubleConsumer, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ProgressDisplay.class);
  private static final int MAX_PERCENT = 100;
  private static final int LOGGED_STEP_PERCENT = 10;

  private final String experiment;
  private final Optional<ProgressBar> bar;
  private long loggedPercent;

  private ProgressDisplay(String experiment, Optional<ProgressBar> bar) {
    this.experiment = experiment;
    this.bar = bar;
  }

  /** Creates the display of an experiment. */
  @SuppressWarnings("SystemConsoleNull") // Differs on Java 22 and newer only.
  static ProgressDisplay of(String experiment) {
    if (System.console() == null) {
      return new ProgressDisplay(experiment, Optional.empty());
    }
    return new ProgressDisplay(
        experiment,
        Optional.of(
            new ProgressBarBuilder()
                .setTaskName(experiment)
                .setInitialMax(MAX_PERCENT)
                .setStyle(ProgressBarStyle.ASCII)
                .build()));
  }

  @Override
  public void accept(double completedFraction) {
    long percent = Math.round(completedFraction * MAX_PERCENT);
    bar.ifPresentOrElse(shown -> shown.stepTo(percent), () -> log(percent));
  }

  private void log(long percent) {
    if (percent < loggedPercent + LOGGED_STEP_PERCENT) {
      return;
    }
    loggedPercent = percent - percent % LOGGED_STEP_PERCENT;
    LOG.atInfo()
        .addKeyValue("experiment", experiment)
        .addKeyValue("percent", percent)
        .log("progress");
  }

  @Override
  public void close() {
    bar.ifPresent(ProgressBar::close);
  }
}
