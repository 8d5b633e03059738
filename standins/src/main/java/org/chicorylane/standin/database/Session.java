package org.chicorylane.standin.database;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * One client's session: takes its messages in order, one thread at a time, and ends it when asked.
 *
 * <p>Thread-safe.
 */
final class Session implements Runnable {

  private static final Duration FROZEN_CHECK_INTERVAL = Duration.ofMillis(10);

  private final ServerCore server;
  private final Link link;
  private final BackendWriter writer;
  private final int pid;
  private final int secret;
  private final long incarnation;
  private final Queue<FrontendMessage> inbox = new ArrayDeque<>();
  private boolean scheduled;
  private boolean ended;
  private boolean woken;
  private long idleSinceNanos;
  private @Nullable ScheduledFuture<?> timer;
  private long timerNanos;
  private volatile boolean abandoned;
  private volatile boolean smartShutdown;
  private volatile @Nullable SqlError termination;
  private volatile @Nullable QueryHandler queries;
  private FrontendMessage.@Nullable Startup startup;

  Session(ServerCore server, Link link) {
    this.server = server;
    this.link = link;
    this.writer = new BackendWriter(link);
    this.pid = server.sessions().newPid();
    this.secret = System.identityHashCode(this);
    this.incarnation = server.incarnation();
  }

  int pid() {
    return pid;
  }

  int secret() {
    return secret;
  }

  Link link() {
    return link;
  }

  SessionActivity activity() {
    QueryHandler q = queries;
    String name = q == null ? "" : q.applicationName();
    synchronized (inbox) {
      boolean idle = !scheduled;
      String idleState = q != null && q.status().open() ? "idle in transaction" : "idle";
      return new SessionActivity(pid, name, idle ? idleState : "active");
    }
  }

  /** Takes a message of the client. */
  void accept(FrontendMessage message) {
    synchronized (inbox) {
      if (ended) {
        return;
      }
      inbox.add(message);
      if (scheduled) {
        return;
      }
      scheduled = true;
    }
    schedule();
  }

  /** Ends the session with an error; nothing of it commits after this returns. */
  void terminate(SqlError reason) {
    server.replication().exclusively(() -> termination = reason);
    cancelRunning();
    wake();
  }

  /** Ends the session without a word, as a process that is killed does. */
  void abandon() {
    abandoned = true;
    cancelRunning();
    wake();
  }

  /** Ends the session as soon as it has no transaction. */
  void endWhenIdle() {
    smartShutdown = true;
    wake();
  }

  void cancelRunning() {
    QueryHandler q = queries;
    if (q != null) {
      q.cancel();
    }
  }

  private void wake() {
    synchronized (inbox) {
      woken = true;
      if (scheduled || ended) {
        return;
      }
      scheduled = true;
    }
    schedule();
  }

  private void schedule() {
    try {
      server.executor().execute(this);
    } catch (RejectedExecutionException e) {
      // The group is closed: the session has ended with it.
      abandoned = true;
    }
  }

  @Override
  public void run() {
    while (true) {
      server.gate().pass();
      if (endIfAsked()) {
        return;
      }
      FrontendMessage message;
      synchronized (inbox) {
        message = inbox.poll();
        if (message == null && woken) {
          woken = false;
          continue;
        }
        if (message == null) {
          scheduled = false;
          idleSinceNanos = System.nanoTime();
          armTimer();
          return;
        }
      }
      if (!handle(message)) {
        return;
      }
    }
  }

  private boolean endIfAsked() {
    SqlError reason = termination;
    QueryHandler q = queries;
    if (abandoned || incarnation != server.incarnation()) {
      finish(false);
      return true;
    }
    if (reason == null && smartShutdown && (q == null || q.atRest())) {
      synchronized (inbox) {
        reason = inbox.isEmpty() ? SqlError.shutDown() : null;
      }
    }
    if (reason != null) {
      writer.error("FATAL", reason);
      finish(true);
      return true;
    }
    return false;
  }

  /** Handles one message; returns false when the session has ended. */
  private boolean handle(FrontendMessage message) {
    try {
      if (message instanceof FrontendMessage.Startup startup) {
        return start(startup);
      }
      if (message instanceof FrontendMessage.Password password) {
        return authenticate(password);
      }
      QueryHandler q = queries;
      boolean over =
          message instanceof FrontendMessage.Terminate
              || message instanceof FrontendMessage.Disconnected;
      if (over || q == null) {
        finish(true);
        return false;
      }
      q.handle(message);
      return true;
    } catch (SqlError e) {
      writer.error("FATAL", e);
      finish(true);
      return false;
    }
  }

  private boolean start(FrontendMessage.Startup message) throws SqlError {
    Duration delay = server.connectDelay();
    if (!delay.isZero()) {
      LockSupport.parkNanos(delay.toNanos());
      server.gate().pass();
    }
    startup = message;
    if (server.password() == null) {
      open(message);
    } else {
      writer.authenticationCleartextPassword();
      writer.flush();
    }
    return true;
  }

  private boolean authenticate(FrontendMessage.Password message) throws SqlError {
    FrontendMessage.Startup parameters = startup;
    if (parameters == null || !message.password().equals(server.password())) {
      throw new SqlError(SqlError.INVALID_PASSWORD, "password authentication failed");
    }
    open(parameters);
    return true;
  }

  private void open(FrontendMessage.Startup message) throws SqlError {
    server.sessions().add(this);
    SqlSession sql = new SqlSession(server, pid, () -> termination != null || abandoned);
    sql.settings().startup(message.parameters());
    QueryHandler q = new QueryHandler(sql, writer);
    queries = q;
    q.greet(secret);
  }

  private void finish(boolean orderly) {
    synchronized (inbox) {
      ended = true;
      inbox.clear();
    }
    if (orderly) {
      writer.flush();
    }
    QueryHandler q = queries;
    if (q != null) {
      q.close();
    }
    server.sessions().remove(this);
    link.close();
  }

  private void armTimer() {
    QueryHandler q = queries;
    Duration timeout = q == null ? Duration.ZERO : q.idleTimeout();
    if (timeout.isZero()) {
      return;
    }
    long due = idleSinceNanos + timeout.toNanos();
    ScheduledFuture<?> armed = timer;
    if (armed == null) {
      scheduleTimer(due);
    } else if (due < timerNanos) {
      armed.cancel(false);
      scheduleTimer(due);
    }
  }

  private void scheduleTimer(long dueNanos) {
    timerNanos = dueNanos;
    long wait = dueNanos - System.nanoTime();
    try {
      timer = server.scheduler().schedule(this::checkIdle, wait, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // The group is closed: the session has ended with it.
      abandoned = true;
    }
  }

  private void checkIdle() {
    QueryHandler q = queries;
    synchronized (inbox) {
      timer = null;
      if (ended || scheduled || q == null) {
        return;
      }
      Duration timeout = q.idleTimeout();
      if (timeout.isZero()) {
        return;
      }
      long now = System.nanoTime();
      long due = idleSinceNanos + timeout.toNanos();
      if (due > now || server.gate().frozen()) {
        scheduleTimer(Math.max(due, now + FROZEN_CHECK_INTERVAL.toNanos()));
        return;
      }
    }
    boolean open = q.status().open();
    terminate(
        open
            ? new SqlError(
                SqlError.IDLE_IN_TRANSACTION_TIMEOUT,
                "terminating connection due to idle-in-transaction timeout")
            : new SqlError(
                SqlError.IDLE_SESSION_TIMEOUT,
                "terminating connection due to idle-session timeout"));
  }
}
