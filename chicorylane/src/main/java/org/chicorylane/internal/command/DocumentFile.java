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
 * A valid resource document that was read from a file.
 *
 * @param file the file
 * @param document the content of the file as JSON
 * @param resource the resource that the document declares
 */
record DocumentFile(Path file, JsonObject document, Resource resource) {

  /**
   * Reads the given files, and the {@code .json} files in the given directories in order of names.
   *
   * @param err receives all errors in all files
   * @return the documents; empty if there was an error
   */
  static Optional<List<DocumentFile>> readAll(String[] paths, PrintStream err) {
    List<DocumentFile> documents = new ArrayList<>();
    List<String> errors = new ArrayList<>();
    for (String path : paths) {
      try {
        for (Path file : listFiles(Path.of(path))) {
          readDocument(file, documents, errors);
        }
      } catch (IOException e) {
        errors.add(path + ": cannot be read: " + e.getClass().getSimpleName());
      }
    }
    Map<String, Path> byKey = new HashMap<>();
    for (DocumentFile document : documents) {
      Path earlier = byKey.putIfAbsent(document.resource().key(), document.file());
      if (earlier != null) {
        errors.add(
            document.file()
                + ": "
                + document.resource().key()
                + " is in "
                + earlier
                + " too at $.metadata.name");
      }
    }
    if (documents.isEmpty() && errors.isEmpty()) {
      errors.add("there are no documents in " + List.of(paths));
    }
    errors.forEach(err::println);
    return errors.isEmpty() ? Optional.of(documents) : Optional.empty();
  }

  private static List<Path> listFiles(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(f -> f.toString().endsWith(".json")).sorted().toList();
    }
  }

  private static void readDocument(Path file, List<DocumentFile> documents, List<String> errors)
      throws IOException {
    String text = Files.readString(file);
    ReadResult result = DeclarationReader.read(file.toString(), text);
    if (result instanceof ReadResult.Valid valid) {
      JsonObject json = JsonParser.parseString(text).getAsJsonObject();
      documents.add(new DocumentFile(file, json, valid.resource()));
    } else if (result instanceof ReadResult.Invalid invalid) {
      invalid.findings().forEach(f -> errors.add(f.toLine()));
    }
  }
}
