import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
  }

  synchronized void line(String text) {
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    String shown = text.replace("\r", "<CR>").replace("\n", "<LF>");
    out.println(millis + " ms " + (shown.length() > 300 ? shown.substring(0, 300) + "..." : shown));
    out.flush();
  }

  /** Returns a time of the monotonic clock in milliseconds since the start. */
  long at(long nanos) {
    return (nanos - startNanos) / 1_000_000;
  }

  @Override
  public void close() {
    out.close();
  }
}
