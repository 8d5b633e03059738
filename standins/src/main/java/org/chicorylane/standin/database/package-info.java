/**
 * A stand-in for a database group: servers that speak PostgreSQL's protocol, replicate
 * asynchronously and can be made to fail.
 */
@NullMarked
package org.chicorylane.standin.database;

import org.jspecify.annotations.NullMarked;
