package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.ReadResult;
import org.chicorylane.internal.declaration.Resource;

/**
 * A resource document in a file, without a finding.
 *
 * @param file the file
 * @param document the JSON
 * @param resource what it declares
 */
record DocumentFile(Path file, JsonObject document, Resource resource) {

  /**
   * Reads files, and the {@code .json} files of directories in order of names.
   *
   * @return the documents, or nothing after all findings of all files were printed
   */
  static Optional<List<DocumentFile>> readAll(String[] paths, PrintStream err) {
    List<DocumentFile> documents = new ArrayList<>();
    List<String> complaints = new ArrayList<>();
    for (String path : paths) {
      try {
        for (Path file : filesOf(Path.of(path))) {
          read(file, documents, complaints);
        }
      } catch (IOException e) {
        complaints.add(path + ": cannot be read: " + e.getClass().getSimpleName());
      }
    }
    Map<String, Path> byKey = new HashMap<>();
    for (DocumentFile d : documents) {
      Path earlier = byKey.putIfAbsent(d.resource().key(), d.file());
      if (earlier != null) {
        complaints.add(
            d.file() + ": " + d.resource().key() + " is in " + earlier + " too at $.metadata.name");
      }
    }
    if (documents.isEmpty() && complaints.isEmpty()) {
      complaints.add("there are no documents in " + List.of(paths));
    }
    complaints.forEach(err::println);
    return complaints.isEmpty() ? Optional.of(documents) : Optional.empty();
  }

  private static List<Path> filesOf(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(f -> f.toString().endsWith(".json")).sorted().toList();
    }
  }

  private static void read(Path file, List<DocumentFile> documents, List<String> complaints)
      throws IOException {
    String text = Files.readString(file);
    ReadResult result = DeclarationReader.read(file.toString(), text);
    if (result instanceof ReadResult.Valid valid) {
      JsonObject json = JsonParser.parseString(text).getAsJsonObject();
      documents.add(new DocumentFile(file, json, valid.resource()));
    } else if (result instanceof ReadResult.Invalid invalid) {
      invalid.findings().forEach(f -> complaints.add(f.toLine()));
    }
  }
}
