package org.chicorylane.internal.home;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.relay.TransactionHandle;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/**
 * The registry of the interactive transactions that are open at a home, each pinned to one backend
 * connection.
 *
 * <p>Runs on the group's executor only.
 */
final class InteractiveTransactions {
  private static final int HANDLE_SECRET_BYTES = 16;

  /** An open transaction, with the results of its statements so far. */
  static final class OpenTransaction {
    private final String handle;
    private final String server;
    private final ServerConnection connection;
    private final @Nullable String idempotencyKey;
    private final List<StatementResult> results = new ArrayList<>();
    private Instant lastUsedAt;
    private boolean busy;

    private OpenTransaction(
        String handle,
        String server,
        ServerConnection connection,
        @Nullable String idempotencyKey,
        Instant now) {
      this.handle = handle;
      this.server = server;
      this.connection = connection;
      this.idempotencyKey = idempotencyKey;
      this.lastUsedAt = now;
    }

    String handle() {
      return handle;
    }

    String server() {
      return server;
    }

    ServerConnection connection() {
      return connection;
    }

    @Nullable String idempotencyKey() {
      return idempotencyKey;
    }

    List<StatementResult> results() {
      return results;
    }

    /** Returns whether a request of the transaction is running. */
    boolean isBusy() {
      return busy;
    }

    void beginRequest() {
      busy = true;
    }

    void endRequest(List<StatementResult> newResults, Instant now) {
      busy = false;
      lastUsedAt = now;
      results.addAll(newResults);
    }
  }

  private final String instance;
  private final Duration idleLimit;
  private final SecureRandom random = new SecureRandom();
  private final Map<String, OpenTransaction> byHandle = new HashMap<>();

  /** Creates an empty registry of transactions that may be idle for at most {@code idleLimit}. */
  InteractiveTransactions(String instance, Duration idleLimit) {
    this.instance = instance;
    this.idleLimit = idleLimit;
  }

  /** Adds a transaction under a new handle, which other callers cannot guess. */
  OpenTransaction add(
      String server, ServerConnection connection, PendingRequest pending, Instant now) {
    byte[] secret = new byte[HANDLE_SECRET_BYTES];
    random.nextBytes(secret);
    String handle = new TransactionHandle(instance, HexFormat.of().formatHex(secret)).toText();
    OpenTransaction transaction =
        new OpenTransaction(handle, server, connection, pending.request().idempotencyKey(), now);
    byHandle.put(handle, transaction);
    return transaction;
  }

  /** Returns the transaction with that handle; empty if there is none or the handle is null. */
  Optional<OpenTransaction> find(@Nullable String handle) {
    return Optional.ofNullable(handle == null ? null : byHandle.get(handle));
  }

  void remove(OpenTransaction transaction) {
    byHandle.remove(transaction.handle());
  }

  int size() {
    return byHandle.size();
  }

  /** Returns how many transactions are open on {@code server}. */
  int countOn(String server) {
    return (int) byHandle.values().stream().filter(t -> t.server().equals(server)).count();
  }

  /** Removes and returns the transactions that have been idle for the limit or longer. */
  List<OpenTransaction> removeIdle(Instant now) {
    List<OpenTransaction> idle = new ArrayList<>();
    for (Iterator<OpenTransaction> i = byHandle.values().iterator(); i.hasNext(); ) {
      OpenTransaction t = i.next();
      if (!t.busy && !now.isBefore(t.lastUsedAt.plus(idleLimit))) {
        i.remove();
        idle.add(t);
      }
    }
    return idle;
  }

  /** Removes and returns the transactions on {@code server}. */
  List<OpenTransaction> removeAllOn(String server) {
    List<OpenTransaction> removed =
        byHandle.values().stream().filter(t -> t.server().equals(server)).toList();
    removed.forEach(this::remove);
    return removed;
  }
}
