package org.chicorylane.internal.dissemination;

import java.util.List;
import org.chicorylane.internal.declaration.Declarations;

/** Reads resource documents. Thread-safe. */
@FunctionalInterface
public interface DeclarationParser {

  /**
   * Returns what the documents declare; documents that are wrong are left out.
   *
   * @param revision the revision of the result
   * @param documents the documents as JSON
   */
  Declarations parse(long revision, List<String> documents);
}
