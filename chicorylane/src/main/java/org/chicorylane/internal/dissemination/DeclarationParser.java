package org.chicorylane.internal.dissemination;

import java.util.List;
import org.chicorylane.internal.declaration.Declarations;

/** Parses resource documents. Thread-safe. */
@FunctionalInterface
public interface DeclarationParser {

  /**
   * Returns the declarations in the documents. Invalid documents are skipped.
   *
   * @param revision the revision of the result
   * @param documents the documents as JSON
   */
  Declarations parse(long revision, List<String> documents);
}
