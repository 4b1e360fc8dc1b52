package loadbalancer.proxy.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The form of a log line, and the limit on lines that peers cause. */
class EventLogTest {

  private final PrintStream standardError = System.err;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  @BeforeEach
  void captureStandardError() {
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restoreStandardError() {
    System.setErr(standardError);
  }

  private long linesWith(String text) {
    return output.toString(StandardCharsets.UTF_8).lines().filter(l -> l.contains(text)).count();
  }

  @Test
  void lineStartsWithItsLevel() {
    EventLog.info("test: first");
    EventLog.warn("test: second");
    EventLog.error("test: third");
    assertEquals(1, linesWith("INFO test: first"));
    assertEquals(1, linesWith("WARN test: second"));
    assertEquals(1, linesWith("ERROR test: third"));
  }

  @Test
  void lineBreaksBecomeSpaces() {
    EventLog.info("test: event\r\nforged: line");
    assertEquals(1, linesWith("INFO test: event  forged: line"));
  }

  @Test
  void fewLinesOfAFloodAreWritten() {
    for (int i = 0; i < 1_000; i++) {
      EventLog.infoRateLimited("test: flood");
      EventLog.warnRateLimited("test: flood");
    }
    long written = linesWith("test: flood");
    assertTrue(written >= 1 && written <= 100, written + " lines of 2,000");
  }
}
