package org.chicorylane.internal.passthrough;

/**
 * What a prepared statement runs, independent of the name that a client gave it.
 *
 * @param mode whether it reads or writes
 * @param shape the statement's form, in the words of the client
 */
public record PreparedShape(AccessMode mode, String shape) {}
