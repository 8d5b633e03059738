package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The embedded SQL engine of one server: an in-memory database that lives until {@link #close}.
 *
 * <p>Thread-safe; the connections are not.
 */
final class Engine implements AutoCloseable {

  private static final AtomicLong SEQUENCE = new AtomicLong();
  private static final String OPTIONS =
      ";MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH;DB_CLOSE_DELAY=-1"
          + ";DB_CLOSE_ON_EXIT=FALSE;BUILTIN_ALIAS_OVERRIDE=TRUE";

  private final String url;
  private final Connection keeper;

  Engine(String name) throws SQLException {
    url = "jdbc:h2:mem:" + name + "-" + SEQUENCE.incrementAndGet() + OPTIONS;
    keeper = DriverManager.getConnection(url, "sa", "");
    try (Statement s = keeper.createStatement()) {
      for (String ddl : ServerFunctions.declarations()) {
        s.execute(ddl);
      }
    }
  }

  /**
   * Opens a connection with its own transactions.
   *
   * @param lockTimeout how long a statement waits for a lock before it fails, without effect
   */
  Connection connect(Duration lockTimeout) throws SQLException {
    Connection connection = DriverManager.getConnection(url, "sa", "");
    try (Statement s = connection.createStatement()) {
      s.execute("SET LOCK_TIMEOUT " + lockTimeout.toMillis());
    }
    connection.setAutoCommit(false);
    connection.setTransactionIsolation(Connection.TRANSACTION_READ_COMMITTED);
    return connection;
  }

  @Override
  public void close() throws SQLException {
    try (Statement s = keeper.createStatement()) {
      s.execute("SHUTDOWN IMMEDIATELY");
    }
  }
}
