package org.chicorylane.internal.operator;

import com.google.gson.JsonObject;
import org.chicorylane.internal.declaration.Resource;
import org.chicorylane.internal.declaration.ServerState;
import org.jspecify.annotations.Nullable;

/** A requested change of one document. Immutable. */
sealed interface DocumentChange {

  /** Returns the kind and name of the document. */
  String key();

  /**
   * Creates or replaces the document.
   *
   * @param document the new JSON
   * @param resource the resource that it declares
   * @param force whether a document without a version replaces any existing one
   */
  record Replace(JsonObject document, Resource resource, boolean force) implements DocumentChange {
    @Override
    public String key() {
      return resource.key();
    }
  }

  /**
   * Deletes the document.
   *
   * @param version the expected version; null, only with {@code force}, to delete any version
   */
  record Remove(String kind, String name, @Nullable String version) implements DocumentChange {
    @Override
    public String key() {
      return kind + "/" + name;
    }
  }

  /** Sets the state of one server in a group and keeps the rest of the document. */
  record SetState(String group, String server, ServerState state) implements DocumentChange {
    @Override
    public String key() {
      return "DatabaseGroup/" + group;
    }
  }
}
