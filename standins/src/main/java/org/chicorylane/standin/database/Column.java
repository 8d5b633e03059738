package org.chicorylane.standin.database;

/** One column of a result. */
record Column(String name, PgType type) {}
