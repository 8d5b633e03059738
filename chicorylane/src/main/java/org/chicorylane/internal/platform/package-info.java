/**
 * Clients of the platform that the instances run on: its key-value service and its list of
 * instances. Start with {@link org.chicorylane.internal.platform.KeyValueStore}; {@link
 * org.chicorylane.internal.platform.ConditionalWriter} writes to it and determines the outcome when
 * an answer is lost.
 */
@NullMarked
package org.chicorylane.internal.platform;

import org.jspecify.annotations.NullMarked;
