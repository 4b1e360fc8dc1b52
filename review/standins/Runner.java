import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.stream.Stream;

/** Runs a case and ends what it has started. */
final class Runner {
  static final int HELD = 0;

  /** Not 1, which a Java program that fails exits with; run.sh makes 1 of it. */
  static final int BROKEN = 10;

  static final int COULD_NOT_RUN = 2;

  /** A run that takes longer could not be completed. */
  private static final long MAX_MILLIS = 115_000;

  /** A case; returns its exit status. */
  interface Case {
    int play(Run run) throws Exception;
  }

  /** One run of a case. */
  record Run(
      Path root, Path temporary, Record record, boolean trouble, Deque<AutoCloseable> started) {

    /** Keeps something to be closed at the end of the run, the latest first. */
    <T extends AutoCloseable> T closeLater(T closeable) {
      started.push(closeable);
      return closeable;
    }

    Balancer newBalancer(String name) throws IOException {
      return new Balancer(root, temporary, name);
    }
  }

  private Runner() {}

  /** Arguments: the repository's root, the case's folder, 0 to leave out the disruption. */
  static int run(String[] arguments, Case played) throws IOException {
    Path root = Path.of(arguments[0]).toAbsolutePath();
    Path folder = Path.of(arguments[1]).toAbsolutePath();
    boolean trouble = !arguments[2].equals("0");
    Path temporary = Files.createTempDirectory("review");
    int status = COULD_NOT_RUN;
    Daemon.start(
        "watchdog",
        () -> {
          Daemon.sleep(MAX_MILLIS);
          System.exit(COULD_NOT_RUN);
        });
    try (Record record = new Record(folder.resolve("record.txt"))) {
      Run run = new Run(root, temporary, record, trouble, new ArrayDeque<>());
      record.print("disruption: %s", trouble ? "yes" : "no");
      try {
        status = played.play(run);
      } catch (Exception e) {
        record.print("could not run: %s", e);
        e.printStackTrace();
      } finally {
        closeAll(run, record);
      }
      record.print(
          status == HELD
              ? "the rule held"
              : status == BROKEN ? "the rule was broken" : "the case could not run");
    } finally {
      delete(temporary);
    }
    return status;
  }

  private static void closeAll(Run run, Record record) {
    for (AutoCloseable started : run.started()) {
      try {
        if (started instanceof Balancer balancer) {
          balancer.close();
          balancer.log().lines().forEach(line -> record.add("balancer log: %s", line));
        } else {
          started.close();
        }
      } catch (Exception e) {
        record.add("at the end: %s", e);
      }
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
