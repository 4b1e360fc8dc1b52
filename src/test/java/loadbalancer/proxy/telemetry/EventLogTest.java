package loadbalancer.proxy.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the format of log lines and the rate limit on lines that peers can cause. */
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

  private long countLinesContaining(String text) {
    return output
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains(text))
        .count();
  }

  @Test
  void lineStartsWithLevel() {
    EventLog.info("test: first");
    EventLog.warn("test: second");
    EventLog.error("test: third");
    assertEquals(1, countLinesContaining("INFO test: first"));
    assertEquals(1, countLinesContaining("WARN test: second"));
    assertEquals(1, countLinesContaining("ERROR test: third"));
  }

  @Test
  void lineBreaksAreReplacedBySpaces() {
    EventLog.info("test: event\r\nforged: line");
    assertEquals(1, countLinesContaining("INFO test: event  forged: line"));
  }

  @Test
  void rateLimitDropsMostLinesOfAFlood() {
    for (int i = 0; i < 1_000; i++) {
      EventLog.infoRateLimited("test: flood");
      EventLog.warnRateLimited("test: flood");
    }
    long written = countLinesContaining("test: flood");
    assertTrue(written >= 1 && written <= 100, written + " of 2,000 lines written");
  }
}
