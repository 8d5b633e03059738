package org.chicorylane.internal.declaration;

import org.jspecify.annotations.Nullable;

/**
 * What identifies a resource.
 *
 * @param name unique within the kind
 * @param resourceVersion the version that the writer has seen; null if the writer names none
 */
public record Metadata(String name, @Nullable String resourceVersion) {}
