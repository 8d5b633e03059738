package org.chicorylane.internal.declaration;

import org.jspecify.annotations.Nullable;

/**
 * The name and version of a resource.
 *
 * @param name unique within the kind
 * @param resourceVersion the version that the writer expects to replace; null if not given
 */
public record Metadata(String name, @Nullable String resourceVersion) {}
