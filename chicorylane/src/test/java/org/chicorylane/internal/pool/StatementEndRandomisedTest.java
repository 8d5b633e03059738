package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards, under drawn faults and ends, against statements that are sent after they have ended or
 * with other session values than those of their submission, and against places and connections that
 * are lost on the way. Servers lose, delay and refuse answers and reset connections; clients change
 * values, leave, and abandon transactions; links of entries end; the primary is halted and the
 * lease lapses. Runs in virtual time with fixed seeds.
 *
 * <p>The first statement of a transaction is never refused: what is lost then is issue 52.
 */
final class StatementEndRandomisedTest {

  private static final int STEPS = 600;
  private static final int SESSIONS = 6;
  private static final List<String> SERVERS = List.of("server-a", "server-b", "server-c");

  /** A client session with at most one open transaction and one statement under way. */
  private final class Session {
    final String name;

    /** The link of the entry over which its statements come; two sessions share each. */
    final String owner;

    final Map<String, String> values = new HashMap<>();
    long transaction;
    boolean begun;
    Sent running;

    Session(int index) {
      this.name = "s" + index;
      this.owner = "entry-" + index / 2;
    }
  }

  /** A statement that was submitted. */
  private final class Sent implements WorkHandler {
    final Session session;
    final Work work;
    final Map<String, String> values;
    final long deadlineNanos;
    boolean ended;

    Sent(Session session, Work work) {
      this.session = session;
      this.work = work;
      this.values = Map.copyOf(session.values);
      this.deadlineNanos = fixture.scheduler.nanoTime() + work.budgetMillis() * 1_000_000L;
    }

    @Override
    public void onAnswer(Answer answer) {
      if (ended) {
        return;
      }
      end();
      boolean isOver = work.kind() == WorkKind.COMMIT || !answer.succeeded();
      if (work.inTransaction() && isOver) {
        fixture.pool.abandon(session.owner, session.transaction);
        session.transaction = 0;
      }
    }

    @Override
    public void onNotHome() {
      violations.add(work.requestId() + " was returned by a pool that is the home");
    }

    void end() {
      ended = true;
      session.running = null;
    }
  }

  private final Map<String, Sent> submitted = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final PoolFixture fixture =
      new PoolFixture((group, scheduler) -> new SendRecorder(group, this::onSend));
  private final List<Session> sessions = new ArrayList<>();
  private int sent;
  private int next;
  private long nextTransaction;

  private void onSend(String requestId, Map<String, String> values) {
    sent++;
    Sent statement = submitted.get(requestId);
    if (statement == null) {
      return;
    }
    if (statement.ended) {
      violations.add(requestId + " was sent after its end");
    }
    if (fixture.scheduler.nanoTime() >= statement.deadlineNanos) {
      violations.add(requestId + " was sent after its time");
    }
    if (!values.equals(statement.values)) {
      violations.add(requestId + " was sent with " + values + " instead of " + statement.values);
    }
  }

  private void submit(Session session, Random random) {
    boolean inTransaction = session.transaction != 0;
    boolean begins = inTransaction && !session.begun;
    boolean commits = inTransaction && !begins && random.nextInt(3) == 0;
    boolean writes = random.nextBoolean();
    WorkKind kind = commits ? WorkKind.COMMIT : writes ? WorkKind.WRITE : WorkKind.READ;
    Work work =
        PoolFixture.work(
                session.name + "-" + next++,
                kind,
                writes || inTransaction ? Freshness.OWN_WRITES : Freshness.BOUNDED_AGE)
            .values(session.values)
            .inTransaction(session.transaction, begins, false)
            .budget(100 + random.nextInt(900))
            .build();
    session.begun = true;
    Sent statement = new Sent(session, work);
    session.running = statement;
    submitted.put(work.requestId(), statement);
    fixture.pool.submit(session.owner, work, statement);
  }

  /** Ends what a session has under way, as its entry does when the client leaves or gives up. */
  private void leave(Session session) {
    Sent running = session.running;
    if (running != null) {
      running.end();
      if (!running.work.inTransaction()) {
        fixture.pool.drop(running);
      }
    }
    if (session.transaction != 0) {
      fixture.pool.abandon(session.owner, session.transaction);
      session.transaction = 0;
    }
  }

  private void act(Session session, Random random) {
    int action = random.nextInt(20);
    if (session.running != null) {
      if (action == 0) {
        leave(session);
      }
      return;
    }
    if (action < 4) {
      session.values.put("v" + random.nextInt(2), Integer.toString(next++));
    } else if (action < 6 && session.transaction == 0) {
      session.transaction = ++nextTransaction;
      session.begun = false;
    } else if (action == 6) {
      leave(session);
    } else if (action < 14) {
      submit(session, random);
    }
  }

  private void drawFaults(Random random) {
    for (String id : SERVERS) {
      ModelServer server = fixture.group.server(id);
      server.losesAnswer = command -> random.nextInt(60) == 0;
      server.answerDelay =
          command ->
              random.nextInt(30) == 0 ? Duration.ofMillis(random.nextInt(1_500)) : Duration.ZERO;
      server.refuses = command -> isRefusable(command) && random.nextInt(30) == 0;
    }
  }

  private boolean isRefusable(ServerCommand command) {
    Sent statement = command.requestId() == null ? null : submitted.get(command.requestId());
    return statement != null && !statement.work.begins();
  }

  private void endFaults() {
    for (String id : SERVERS) {
      ModelServer server = fixture.group.server(id);
      server.losesAnswer = command -> false;
      server.answerDelay = command -> Duration.ZERO;
      server.refuses = command -> false;
    }
    fixture.pool.setPrimaryHalt(PrimaryHalt.NOTHING);
    fixture.mayServe = true;
  }

  private void disturb(Random random) {
    switch (random.nextInt(60)) {
      case 0, 1 -> fixture.group.server(SERVERS.get(random.nextInt(3))).resetUnanswered();
      case 2 -> {
        String owner = "entry-" + random.nextInt(SESSIONS / 2);
        sessions.stream().filter(s -> s.owner.equals(owner)).forEach(this::loseLink);
        fixture.pool.abandonAll(owner);
      }
      case 3 -> fixture.pool.setPrimaryHalt(PrimaryHalt.WRITES);
      case 4, 5 -> fixture.pool.setPrimaryHalt(PrimaryHalt.NOTHING);
      case 6 -> fixture.mayServe = false;
      case 7, 8, 9 -> fixture.mayServe = true;
      default -> {}
    }
  }

  private void loseLink(Session session) {
    if (session.running != null) {
      session.running.end();
    }
    session.transaction = 0;
  }

  /** Asserts that as many statements as the servers have slots for are served at once. */
  private void assertServesFullLoad() {
    for (int wave = 0; wave < 5; wave++) {
      for (int i = 0; i < 3; i++) {
        fixture.submit(PoolFixture.write("last-write-" + wave + i));
        fixture.submit(PoolFixture.read("last-read-" + wave + i));
      }
      fixture.advance(250);
    }
    assertThat(fixture.answers.values().stream().filter(Answer::succeeded).toList()).hasSize(30);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void testNothingIsSentAfterItsEndAndNothingIsLost(int seed) {
    Random random = new Random(seed);
    for (int i = 0; i < SESSIONS; i++) {
      sessions.add(new Session(i));
    }
    drawFaults(random);
    for (int step = 0; step < STEPS; step++) {
      sessions.forEach(session -> act(session, random));
      disturb(random);
      fixture.advance(5 + random.nextInt(40));
    }
    endFaults();
    sessions.forEach(this::leave);
    fixture.advance(10_000);
    assertThat(violations).isEmpty();
    assertThat(sent).isAtLeast(STEPS / 2);
    assertThat(fixture.pool.isIdle()).isTrue();
    assertThat(fixture.pool.primaryConnectionsInUse()).isEqualTo(0);
    assertServesFullLoad();
  }
}
