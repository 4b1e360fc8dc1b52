import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a run, one line an event, with the milliseconds since its start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double nowMillis() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void add(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    out.printf(Locale.ROOT, "%10.1f %s%n", nowMillis(), text);
  }

  /** Adds a line to the record and prints it too. */
  void print(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    add("%s", text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
