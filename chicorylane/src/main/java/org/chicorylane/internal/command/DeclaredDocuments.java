package org.chicorylane.internal.command;

import com.google.gson.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Parses the documents that an instance returns, by kind and name. Stateless. */
final class DeclaredDocuments {
  private DeclaredDocuments() {}

  /** Returns the documents in the answer to a request for all documents, by {@code KIND/NAME}. */
  static Map<String, JsonObject> of(OperatorReply.Answered answer) {
    Map<String, JsonObject> documents = new LinkedHashMap<>();
    for (JsonObject document : OperatorPrinter.getObjects(answer.body(), "documents")) {
      documents.put(keyOf(document), document);
    }
    return documents;
  }

  /** Returns the version of a document that an instance returned; empty if it has none. */
  static Optional<String> getVersion(JsonObject document) {
    JsonObject metadata = OperatorPrinter.getObject(document, "metadata");
    return metadata.has("resourceVersion")
        ? Optional.of(OperatorPrinter.getText(metadata, "resourceVersion"))
        : Optional.empty();
  }

  private static String keyOf(JsonObject document) {
    return OperatorPrinter.getText(document, "kind")
        + "/"
        + OperatorPrinter.getText(OperatorPrinter.getObject(document, "metadata"), "name");
  }
}
