/** A stand-in for the users' metadata store and its promotion call, over HTTP. */
@NullMarked
package org.chicorylane.standin.metadata;

import org.jspecify.annotations.NullMarked;
