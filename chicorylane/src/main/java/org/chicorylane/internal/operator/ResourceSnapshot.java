package org.chicorylane.internal.operator;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chicorylane.internal.declaration.Resource;

/**
 * All stored documents at one point in time. Immutable.
 *
 * @param resources the documents by key, kind and name
 * @param revision the store revision of the last change of any document; 0 if there was none
 */
record ResourceSnapshot(SortedMap<String, StoredResource> resources, long revision) {

  ResourceSnapshot {
    resources = Collections.unmodifiableSortedMap(new TreeMap<>(resources));
  }

  /** Returns the resources of the valid documents. */
  List<Resource> validResources() {
    return resources.values().stream()
        .map(StoredResource::resource)
        .flatMap(Optional::stream)
        .toList();
  }
}
