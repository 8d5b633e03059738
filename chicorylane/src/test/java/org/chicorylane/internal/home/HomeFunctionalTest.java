package org.chicorylane.internal.home;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.statement.Statement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs requests through the home of a stand-in group over real sockets, on a single instance.
 *
 * <p>Guards against writes that are acknowledged but not readable, idempotency keys that run a
 * request twice, and statements that are kept although their transaction failed or is still open.
 */
final class HomeFunctionalTest {
  private HomeFixture fixture;

  @BeforeEach
  void start() {
    fixture = new HomeFixture(1);
  }

  @AfterEach
  void stop() {
    fixture.drain();
    fixture.close();
  }

  @Test
  void testWriteIsConfirmedAndReadBack() {
    Outcome.Completed written = write("a", null);
    assertThat(written.position().term()).isEqualTo(1);
    assertThat(count("a", written)).isEqualTo(1);
  }

  @Test
  void testSecondAttemptWithSameKeyReturnsFirstResults() {
    write("a", "key-1");
    Outcome.Completed again = write("a", "key-1");
    assertThat(again.replayed()).isTrue();
    assertThat(again.results().get(0).affectedRows()).isEqualTo(1);
    assertThat(count("a", again)).isEqualTo(1);
  }

  @Test
  void testSameKeyWithAnotherRequestIsRefused() {
    write("a", "key-1");
    Outcome other = submitUntilServed(fixture.insertRequest("b", "key-1", "session-1"));
    assertThat(((Outcome.NotRun) other).reason()).isEqualTo(NotRunReason.KEY_REUSED);
  }

  @Test
  void testRefusedStatementRollsItsTransactionBack() {
    List<Statement> twice =
        List.of(
            HomeFixture.insert("a"), new Statement("INSERT INTO nowhere VALUES (1)", List.of()));
    Outcome refused = submitUntilServed(fixture.writeRequest(twice, "key-1"));
    assertThat(((Outcome.Rejected) refused).statementIndex()).isEqualTo(1);
    assertThat(count("a", write("b", null))).isEqualTo(0);
  }

  @Test
  void testTransactionControlIsRefusedWithPathOfStatement() {
    Outcome refused =
        submitUntilServed(
            fixture.writeRequest(List.of(new Statement("/* x */ COMMIT", List.of())), null));
    assertThat(((Outcome.NotRun) refused).reason()).isEqualTo(NotRunReason.NOT_ALLOWED);
    assertThat(((Outcome.NotRun) refused).detail()).contains("$.statements[0].sql");
  }

  @Test
  void testInteractiveTransactionShowsNothingBeforeCommit() {
    write("warm-up", null);
    Outcome.Completed begun = completed(fixture.begin());
    String handle = begun.transaction();
    completed(fixture.inTransaction(RequestKind.CONTINUE, handle, HomeFixture.insert("a")));
    assertThat(count("a", write("b", null))).isEqualTo(0);
    Outcome.Completed committed = completed(fixture.inTransaction(RequestKind.COMMIT, handle));
    assertThat(count("a", committed)).isEqualTo(1);
  }

  @Test
  void testWritesAreServedAgainAfterPrimaryIsKilled() {
    write("before", null);
    fixture.server(1).kill();
    Outcome.Completed after = write("after", "key-after");
    assertThat(after.position().term()).isEqualTo(2);
    assertThat(count("before", after)).isEqualTo(1);
    assertThat(count("after", after)).isEqualTo(1);
  }

  private Outcome.Completed write(String id, String key) {
    return fixture.write(fixture.home(0), id, key);
  }

  private long count(String id, Outcome.Completed after) {
    return fixture.count(fixture.home(0), id, after.position());
  }

  private Outcome.Completed completed(GroupRequest request) {
    return fixture.completed(fixture.home(0), request);
  }

  private Outcome submitUntilServed(GroupRequest request) {
    return fixture.submitUntilServed(fixture.home(0), request);
  }
}
