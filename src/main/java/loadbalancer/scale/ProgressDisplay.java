package loadbalancer.scale;

import java.util.Optional;
import java.util.function.DoubleConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/** Shows the progress of an experiment as a bar, if the process runs on a terminal. */
final class ProgressDisplay implements DoubleConsumer, AutoCloseable {

  private static final int MAX_PERCENT = 100;

  private final Optional<ProgressBar> bar;

  private ProgressDisplay(Optional<ProgressBar> bar) {
    this.bar = bar;
  }

  /** Creates the display of an experiment. */
  @SuppressWarnings("SystemConsoleNull") // Differs on Java 22 and newer only.
  static ProgressDisplay of(String experiment) {
    if (System.console() == null) {
      return new ProgressDisplay(Optional.empty());
    }
    return new ProgressDisplay(
        Optional.of(
            new ProgressBarBuilder()
                .setTaskName(experiment)
                .setInitialMax(MAX_PERCENT)
                .setStyle(ProgressBarStyle.ASCII)
                .build()));
  }

  @Override
  public void accept(double completedFraction) {
    bar.ifPresent(shown -> shown.stepTo(Math.round(completedFraction * MAX_PERCENT)));
  }

  @Override
  public void close() {
    bar.ifPresent(ProgressBar::close);
  }
}
