package org.chicorylane.standin.database;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A statement that changed data, as the log carries it.
 *
 * @param sql the statement as the client sent it
 * @param executedSql the statement as the embedded engine runs it, the same on every server
 * @param parameters its parameters' values in order, null for SQL's null
 * @param updateCount the number of rows that it changed
 */
public record LoggedStatement(
    String sql, String executedSql, List<@Nullable Object> parameters, long updateCount) {}
