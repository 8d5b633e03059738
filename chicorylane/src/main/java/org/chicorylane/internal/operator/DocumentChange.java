package org.chicorylane.internal.operator;

import com.google.gson.JsonObject;
import org.chicorylane.internal.declaration.Resource;
import org.chicorylane.internal.declaration.ServerState;
import org.jspecify.annotations.Nullable;

/** What an operator asks of one document. Immutable. */
sealed interface DocumentChange {

  /** Returns kind and name of the document. */
  String key();

  /**
   * The document shall read so.
   *
   * @param document the JSON
   * @param resource what it declares
   * @param force whether a document without a version replaces whatever is there
   */
  record Replace(JsonObject document, Resource resource, boolean force) implements DocumentChange {
    @Override
    public String key() {
      return resource.key();
    }
  }

  /**
   * The document shall be gone.
   *
   * @param version the version that the operator has seen; null with {@code force} only
   */
  record Remove(String kind, String name, @Nullable String version) implements DocumentChange {
    @Override
    public String key() {
      return kind + "/" + name;
    }
  }

  /** A server of a group shall be in that state, whatever else the document says. */
  record SetState(String group, String server, ServerState state) implements DocumentChange {
    @Override
    public String key() {
      return "DatabaseGroup/" + group;
    }
  }
}
