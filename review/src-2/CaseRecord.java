import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start in ms. */
final class CaseRecord implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  CaseRecord(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%7d %s", millis(), text));
  }

  /** Records a line and prints it too. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
