/**
 * Test double for the users' metadata store and its promotion call, over HTTP. Start with {@link
 * org.chicorylane.standin.metadata.StandInMetadataStore}.
 */
@NullMarked
package org.chicorylane.standin.metadata;

import org.jspecify.annotations.NullMarked;
