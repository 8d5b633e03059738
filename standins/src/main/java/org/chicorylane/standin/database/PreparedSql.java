package org.chicorylane.standin.database;

import java.util.List;

/** A prepared statement: its text, its parameters' types and its result's columns, if any. */
record PreparedSql(StatementText text, List<PgType> parameterTypes, List<Column> columns) {}
