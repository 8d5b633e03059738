package org.chicorylane.internal.operator;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chicorylane.internal.declaration.Resource;

/**
 * All documents as they were at one moment. Immutable.
 *
 * @param resources the documents by kind and name
 * @param revision the revision of the last change of a document; 0 if there was none
 */
record DeclaredSet(SortedMap<String, StoredResource> resources, long revision) {

  DeclaredSet {
    resources = Collections.unmodifiableSortedMap(new TreeMap<>(resources));
  }

  /** Returns what the valid documents declare. */
  List<Resource> valid() {
    return resources.values().stream()
        .map(StoredResource::resource)
        .flatMap(Optional::stream)
        .toList();
  }
}
