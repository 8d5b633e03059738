package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The documents that an instance shows, by kind and name. Stateless. */
final class DeclaredDocuments {
  private DeclaredDocuments() {}

  /** Returns the documents in an answer to a request for all of them. */
  static Map<String, JsonObject> of(OperatorReply.Answered answer) {
    Map<String, JsonObject> documents = new LinkedHashMap<>();
    for (JsonObject document : OperatorPrinter.objects(answer.body(), "documents")) {
      documents.put(keyOf(document), document);
    }
    return documents;
  }

  /** Returns the version of a document that an instance showed. */
  static Optional<String> versionOf(JsonObject document) {
    JsonObject metadata = OperatorPrinter.object(document, "metadata");
    return metadata.has("resourceVersion")
        ? Optional.of(OperatorPrinter.text(metadata, "resourceVersion"))
        : Optional.empty();
  }

  private static String keyOf(JsonObject document) {
    return OperatorPrinter.text(document, "kind")
        + "/"
        + OperatorPrinter.text(OperatorPrinter.object(document, "metadata"), "name");
  }
}
