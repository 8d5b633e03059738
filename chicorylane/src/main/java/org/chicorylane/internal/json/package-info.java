/** Reading JSON documents of people and callers, with everything wrong reported at once. */
@NullMarked
package org.chicorylane.internal.json;

import org.jspecify.annotations.NullMarked;
