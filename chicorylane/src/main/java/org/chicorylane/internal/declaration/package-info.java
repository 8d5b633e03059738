/** What operators declare: database groups, read classes, request classes, objectives. */
@NullMarked
package org.chicorylane.internal.declaration;

import org.jspecify.annotations.NullMarked;
