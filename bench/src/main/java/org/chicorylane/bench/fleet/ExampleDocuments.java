package org.chicorylane.bench.fleet;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads the packaged example declarations, which describe a wash company. */
public final class ExampleDocuments {
  private static final List<String> NAMES =
      List.of(
          "group-fleet",
          "group-ledger",
          "group-plans",
          "objective-billing-lands",
          "objective-check-in-fast",
          "objective-lookup-fast",
          "objective-upload-lands",
          "read-class-browse",
          "read-class-fresh",
          "read-class-lookup",
          "request-class-billing",
          "request-class-browse",
          "request-class-check-in",
          "request-class-lookup",
          "request-class-upload");

  private ExampleDocuments() {}

  /** Returns all example documents. */
  public static List<JsonObject> read() {
    return NAMES.stream().map(ExampleDocuments::read).toList();
  }

  private static JsonObject read(String name) {
    String path = "/example/declarations/" + name + ".json";
    try (InputStream in = ExampleDocuments.class.getResourceAsStream(path)) {
      if (in == null) {
        throw new IllegalStateException("missing resource of the program: " + path);
      }
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return JsonParser.parseString(text).getAsJsonObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
