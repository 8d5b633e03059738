import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered or run. */
final class CaseRecord {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  CaseRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void write(String text) {
    out.printf("%9.3f %s%n", (System.nanoTime() - start) / 1e9, text);
  }
}
