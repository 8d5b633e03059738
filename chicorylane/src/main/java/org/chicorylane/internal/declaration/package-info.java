/**
 * Resources that operators declare as JSON documents: database groups, read classes, request
 * classes and service level objectives. Start with {@link
 * org.chicorylane.internal.declaration.DeclarationReader}.
 */
@NullMarked
package org.chicorylane.internal.declaration;

import org.jspecify.annotations.NullMarked;
