package org.chicorylane.internal.passthrough;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * A simulated database server on virtual time, with terms, a log of request ids, slots, session
 * state and injectable faults.
 */
public final class ModelServer {

  /** A write in the log. */
  public record LogEntry(LogPosition position, String requestId) {}

  /** A commit that no replica has received yet. */
  record Unconfirmed(LogPosition position, Runnable confirmed) {}

  private final ModelGroup group;
  private final Scheduler scheduler;
  final String id;
  final String address;
  final List<LogEntry> log = new ArrayList<>();
  final List<Connection> connections = new ArrayList<>();
  final List<Unconfirmed> unconfirmed = new ArrayList<>();
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private final int slots;
  public boolean primary;
  public boolean running = true;

  /** Fault: the server runs but receives no commands and sends no answers. */
  public boolean unresponsive;

  /** Fault: the replica ignores the primary's log. */
  public boolean ignoresReplication;

  /** Fault: the server exchanges no log with the other servers. */
  public boolean isolatedFromServers;

  /** Fault: the next signed answer is lost, and all later ones on its connection. */
  public boolean loseNextAnswer;

  /** Whether a connection to the server may serve another client after a statement. */
  public boolean reusable = true;

  /** Fault: the next statement is refused as overloaded. */
  public boolean refuseNextStatement;

  /** Fault: statements with these request ids run and fail, while the status is good. */
  public Predicate<String> failsStatement = id -> false;

  /** Fault: statements with these request ids are never answered, while the status is good. */
  public Predicate<String> hangsStatement = id -> false;

  /** Fault: commands that are refused as overloaded. */
  public Predicate<ServerCommand> refuses = command -> false;

  /** Fault: commands that are carried out without an answer, while their connection stays open. */
  public Predicate<ServerCommand> losesAnswer = command -> false;

  /** Fault: time by which the answer to a command is late. */
  public Function<ServerCommand, Duration> answerDelay = command -> Duration.ZERO;

  public long term = 1;
  public long sealedTerm;
  public Duration work = Duration.ofMillis(10);

  /** Time that a statement occupies a slot, by its request id. */
  public Function<String, Duration> workOf = id -> work;

  public Duration lag = Duration.ofMillis(20);
  public int statements;
  public int maximumBusy;
  LogPosition applied = new LogPosition(1, 0);

  /** Contact checks in a row in which this server reached the primary of a later term. */
  int contactChecks;

  private int busy;
  private int incarnation;

  ModelServer(ModelGroup group, Scheduler scheduler, String id, String address, int slots) {
    this.group = group;
    this.scheduler = scheduler;
    this.id = id;
    this.address = address;
    this.slots = slots;
  }

  /** Returns a new server with this server's log, term, role and address. */
  ModelServer successor(String newId) {
    ModelServer next = new ModelServer(group, scheduler, newId, address, slots);
    next.log.addAll(log);
    next.applied = applied;
    next.term = term;
    next.primary = primary;
    return next;
  }

  /** Returns the position of the end of the log. */
  public LogPosition received() {
    return log.isEmpty() ? new LogPosition(1, 0) : log.get(log.size() - 1).position();
  }

  /** Returns the server's id. */
  public String id() {
    return id;
  }

  /** Returns a copy of the log. */
  public List<LogEntry> log() {
    return List.copyOf(log);
  }

  /** Returns the request ids of the writes that a read on this server sees. */
  public java.util.Set<String> visible() {
    java.util.Set<String> ids = new java.util.HashSet<>();
    LogPosition end = applied();
    log.stream().filter(e -> e.position().compareTo(end) <= 0).forEach(e -> ids.add(e.requestId()));
    return ids;
  }

  /** Breaks the connections on which a command has no answer yet. */
  public void resetUnanswered() {
    connections.stream().filter(c -> !c.open.isEmpty()).toList().forEach(Connection::breakDown);
  }

  /** Ends the process and breaks its connections. */
  public void crash() {
    running = false;
    incarnation++;
    queue.clear();
    unconfirmed.clear();
    busy = 0;
    List.copyOf(connections).forEach(Connection::breakDown);
  }

  /**
   * Starts the process again with its log, as a replica if the group has a later term. A replica
   * that was stopped receives again.
   */
  public void restart() {
    running = true;
    unresponsive = false;
    sealedTerm = 0;
    if (group.term() > term) {
      becomeReplica(group.term());
    }
  }

  /** Starts a replica's process again under its id, without its log and what else it knew. */
  public void restartEmpty() {
    crash();
    log.clear();
    applied = new LogPosition(1, 0);
    term = 0;
    restart();
  }

  /** Becomes the primary of a new term with the log that it has. */
  void lead(long newTerm) {
    primary = true;
    term = newTerm;
    sealedTerm = 0;
    unconfirmed.clear();
    LogPosition start = new LogPosition(newTerm, received().offset() + 1);
    log.add(new LogEntry(start, "term-" + newTerm));
  }

  /** Becomes a replica of a later term and takes over the log of that term's primary. */
  void becomeReplica(long newTerm) {
    applied = applied();
    primary = false;
    term = newTerm;
    sealedTerm = 0;
    unconfirmed.clear();
    group.copyFromPrimary(this);
  }

  /** Answers the commits that a replica with a log up to {@code received} has confirmed. */
  void confirm(LogPosition received) {
    List<Unconfirmed> confirmed =
        unconfirmed.stream().filter(u -> u.position().compareTo(received) <= 0).toList();
    unconfirmed.removeAll(confirmed);
    confirmed.forEach(u -> u.confirmed().run());
  }

  private void occupy(Duration time, Runnable done) {
    Runnable start =
        () -> {
          int startedIncarnation = incarnation;
          busy++;
          maximumBusy = Math.max(maximumBusy, busy);
          scheduler.schedule(
              time,
              () -> {
                if (startedIncarnation != incarnation) {
                  return;
                }
                busy--;
                done.run();
                Runnable next = queue.poll();
                if (next != null) {
                  next.run();
                }
              });
        };
    if (busy < slots) {
      start.run();
    } else {
      queue.add(start);
    }
  }

  /** A connection to the server. */
  final class Connection implements ServerLink {
    private final ServerConnector.Listener listener;
    private final Deque<AnswerHandler> open = new ArrayDeque<>();
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, StatementTemplate> prepared = new HashMap<>();
    private final List<String> written = new ArrayList<>();
    private TransactionState state = TransactionState.IDLE;
    private boolean readOnly;
    private boolean ended;
    private boolean reachable = true;

    /** Whether a transaction has begun and none of its statements has arrived yet. */
    private boolean awaitsFirstStatement;

    /** Whether a statement has arrived. */
    private boolean hasRun;

    Connection(ServerConnector.Listener listener) {
      this.listener = listener;
      connections.add(this);
    }

    @Override
    public boolean isReusable() {
      return reusable || !hasRun;
    }

    @Override
    public void send(ServerCommand command, AnswerHandler handler) {
      if (ended) {
        scheduler.schedule(Duration.ZERO, handler::onLost);
        return;
      }
      open.add(handler);
      scheduler.schedule(group.oneWay(), () -> receive(command, handler));
    }

    private void receive(ServerCommand command, AnswerHandler handler) {
      if (ended || !running || unresponsive) {
        return;
      }
      Consumer<Answer> reply = answer -> reply(command, handler, answer);
      if (refuses.test(command)) {
        reply.accept(failure(FailureCode.OVERLOADED));
      } else if (command instanceof ServerCommand.Forward c) {
        boolean writes = c.text().startsWith("WRITE");
        statement(c.requestId(), writes, c.floor(), reply);
      } else if (command instanceof ServerCommand.Execute c) {
        StatementTemplate template = prepared.get(c.preparedName());
        if (template == null) {
          reply.accept(failure(FailureCode.NOT_PREPARED));
        } else {
          statement(c.requestId(), template.mode() == AccessMode.WRITE, c.floor(), reply);
        }
      } else if (command instanceof ServerCommand.Commit c) {
        occupy(Duration.ofMillis(2), () -> commit(c.requestId(), reply));
      } else if (command instanceof ServerCommand.Begin c) {
        begin(c, reply);
      } else {
        reply.accept(control(command));
      }
    }

    private void begin(ServerCommand.Begin c, Consumer<Answer> reply) {
      if (!c.readOnly() && !primary) {
        reply.accept(failure(FailureCode.NOT_PRIMARY));
      } else if (c.floor() != null && applied().compareTo(c.floor()) < 0) {
        reply.accept(failure(FailureCode.REPLICA_BEHIND));
      } else {
        state = TransactionState.OPEN;
        awaitsFirstStatement = true;
        readOnly = c.readOnly();
        reply.accept(done(Answer.UNSIGNED));
      }
    }

    private Answer control(ServerCommand command) {
      if (command instanceof ServerCommand.SetValue c) {
        values.put(c.name(), c.value());
      } else if (command instanceof ServerCommand.Prepare c) {
        prepared.put(c.name(), c.template());
      } else if (command instanceof ServerCommand.Reset) {
        values.clear();
        prepared.clear();
      } else if (command instanceof ServerCommand.Rollback) {
        state = TransactionState.IDLE;
        written.clear();
      } else if (command instanceof ServerCommand.StopReceiving c) {
        boolean applies = !primary && c.term() > term;
        sealedTerm = applies ? Math.max(sealedTerm, c.term()) : sealedTerm;
      } else if (command instanceof ServerCommand.ResumeReceiving) {
        sealedTerm = 0;
        group.sendLogTo(ModelServer.this);
      } else if (command instanceof ServerCommand.StepDown c && primary && c.term() > term) {
        becomeReplica(c.term());
      }
      ServerStatus status =
          new ServerStatus(
              primary, term, received(), sealedTerm, lag.toMillis(), busy + queue.size() + 1);
      return new Answer(List.of(), Answer.UNSIGNED, null, "", state, applied(), status);
    }

    private void statement(
        String requestId, boolean writes, @Nullable LogPosition floor, Consumer<Answer> reply) {
      hasRun = true;
      if (state == TransactionState.IDLE || awaitsFirstStatement) {
        awaitsFirstStatement = false;
        group.arrivalListener.onArrival(ModelServer.this, requestId, listener);
      }
      if (refuseNextStatement) {
        refuseNextStatement = false;
        reply.accept(failure(FailureCode.OVERLOADED));
        return;
      }
      if (writes && (!primary || (state == TransactionState.OPEN && readOnly))) {
        reply.accept(failure(FailureCode.NOT_PRIMARY));
        return;
      }
      if (floor != null && applied().compareTo(floor) < 0) {
        reply.accept(failure(FailureCode.REPLICA_BEHIND));
        return;
      }
      if (hangsStatement.test(requestId)) {
        statements++;
        return;
      }
      occupy(
          workOf.apply(requestId),
          () -> {
            statements++;
            if (failsStatement.test(requestId)) {
              reply.accept(failure(FailureCode.FAILED));
              return;
            }
            group.onRun(ModelServer.this, this, requestId, Map.copyOf(values), state);
            if (!writes) {
              reply.accept(done("signed-" + requestId));
            } else if (state == TransactionState.OPEN) {
              written.add(requestId);
              reply.accept(done("signed-" + requestId));
            } else {
              append(requestId, reply);
            }
          });
    }

    private void commit(String requestId, Consumer<Answer> reply) {
      state = TransactionState.IDLE;
      if (written.isEmpty()) {
        reply.accept(done("signed-" + requestId));
        return;
      }
      written.clear();
      append(requestId, reply);
    }

    private void append(String requestId, Consumer<Answer> reply) {
      if (!primary) {
        reply.accept(failure(FailureCode.NOT_PRIMARY));
        return;
      }
      LogEntry entry = new LogEntry(new LogPosition(term, received().offset() + 1), requestId);
      log.add(entry);
      group.replicate(ModelServer.this, entry, () -> reply.accept(done("signed-" + requestId)));
    }

    private Answer done(String signature) {
      return new Answer(List.of(), signature, null, "", state, applied(), null);
    }

    private Answer failure(FailureCode code) {
      if (state == TransactionState.OPEN) {
        state = TransactionState.FAILED;
      }
      return new Answer(List.of(), null, code, id, state, applied(), null);
    }

    private void reply(ServerCommand command, AnswerHandler handler, Answer answer) {
      if (loseNextAnswer && answer.signature() != null && answer.signature().startsWith("signed")) {
        loseNextAnswer = false;
        reachable = false;
      }
      if (!reachable || losesAnswer.test(command)) {
        return;
      }
      scheduler.schedule(
          group.oneWay().plus(answerDelay.apply(command)),
          () -> {
            if (!ended && !unresponsive && open.remove(handler)) {
              handler.onAnswer(answer);
            }
          });
    }

    void breakDown() {
      scheduler.schedule(group.oneWay(), this::end);
    }

    @Override
    public void close() {
      end();
    }

    private void end() {
      if (ended) {
        return;
      }
      ended = true;
      connections.remove(this);
      List<AnswerHandler> lost = new ArrayList<>(open);
      open.clear();
      lost.forEach(AnswerHandler::onLost);
      listener.onClosed();
    }
  }

  private LogPosition applied() {
    return primary ? received() : applied;
  }

  void apply(LogPosition position) {
    if (position.compareTo(applied) > 0) {
      applied = position;
    }
  }
}
