import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Deletes the temporary folder of a case. */
final class Cleanup {

  private Cleanup() {}

  static void delete(Path folder) throws IOException {
    List<Path> paths;
    try (Stream<Path> walk = Files.walk(folder)) {
      paths = walk.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path p : paths) {
      Files.deleteIfExists(p);
    }
  }
}
