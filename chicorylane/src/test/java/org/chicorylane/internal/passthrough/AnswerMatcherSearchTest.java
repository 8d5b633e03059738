package org.chicorylane.internal.passthrough;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.chicorylane.internal.passthrough.AnswerMatcher.Match;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Searches the orders in which one connection's server can run commands, refuse statements and send
 * whole copies of its answers, for an answer that is believed though it belongs to another command.
 * Commands are sent one at a time; the answers to set-up commands may change places.
 */
final class AnswerMatcherSearchTest {

  /** Copies that a server sends in one run, of any earlier answers. */
  private static final int MAX_COPIES = 3;

  /** The commands that clients give to the connection, one after the other. */
  private enum Script {
    READS(read("r1"), read("r2"), read("r3"), read("r4")),
    WRITES(write("w1"), write("w2"), write("w3")),
    SET_UP(set("a"), write("w1"), set("b"), read("r2"), set("c"), write("w3")),
    TRANSACTIONS(begin(), write("w1"), commit("c1"), begin(), write("w2"), commit("c2")),
    READ_TRANSACTIONS(begin(), read("r1"), rollback(), begin(), read("r2"), commit("c2")),
    MIXED(set("a"), begin(), write("w1"), rollback(), write("w2"), set("b"), begin(), read("r3"));

    private final List<ServerCommand> commands;

    Script(ServerCommand... commands) {
      this.commands = List.of(commands);
    }
  }

  // Guards against an answer, or a promise that nothing was run, that belongs to another command.
  @ParameterizedTest
  @EnumSource
  void testBelievedAnswersBelongToTheirCommands(Script script) {
    Search search = new Search(script, MAX_COPIES);
    search.run();
    assertThat(search.runs).isGreaterThan(100);
    assertThat(search.wrong).isEmpty();
  }

  // Guards against a check that refuses the answers of a server that sends each of them once, but
  // for a beginning that looks like an earlier one: the pool uses another connection for it.
  @ParameterizedTest
  @EnumSource
  void testAnswersWithoutCopiesAreBelieved(Script script) {
    Search search = new Search(script, 0);
    search.run();
    assertThat(search.refused).isEmpty();
  }

  // Guards against a search that cannot find a fault: believing whatever comes must fail.
  @Test
  void testSearchFindsAnswersOfOthersWithoutMatcher() {
    Search search = new Search(Script.READS, 1);
    search.believesAll = true;
    search.run();
    assertThat(search.wrong).isNotEmpty();
  }

  private static ServerCommand read(String id) {
    return new ServerCommand.Forward(id, null, "READ item");
  }

  private static ServerCommand write(String id) {
    return new ServerCommand.Forward(id, null, "WRITE item data");
  }

  private static ServerCommand set(String value) {
    return new ServerCommand.SetValue("name", value);
  }

  private static ServerCommand begin() {
    return new ServerCommand.Begin(false, null);
  }

  private static ServerCommand commit(String id) {
    return new ServerCommand.Commit(id);
  }

  private static ServerCommand rollback() {
    return new ServerCommand.Rollback();
  }

  /** An answer on its way, with the index of the command that it belongs to. */
  private record Sent(int command, Answer answer) {}

  /** A depth-first search over the choices of a server, which replays each run from its start. */
  private static final class Search {
    private final Script script;
    private final int maxCopies;
    private final List<String> wrong = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private boolean believesAll;
    private int runs;

    /** The choices of the present run, and the number of options that there were at each. */
    private final List<Integer> choices = new ArrayList<>();

    private final List<Integer> options = new ArrayList<>();
    private int next;

    Search(Script script, int maxCopies) {
      this.script = script;
      this.maxCopies = maxCopies;
    }

    void run() {
      do {
        next = 0;
        runs++;
        new Run(this).play();
        assertWithMessage("runs of %s", script).that(runs).isLessThan(20_000_000);
      } while (advance());
    }

    /** Moves on to the next sequence of choices; returns false after the last one. */
    private boolean advance() {
      for (int i = choices.size() - 1; i >= 0; i--) {
        if (choices.get(i) + 1 < options.get(i)) {
          choices.set(i, choices.get(i) + 1);
          choices.subList(i + 1, choices.size()).clear();
          options.subList(i + 1, options.size()).clear();
          return true;
        }
      }
      return false;
    }

    int choose(int count) {
      if (count == 1) {
        return 0;
      }
      if (next == choices.size()) {
        choices.add(0);
        options.add(count);
      }
      return choices.get(next++);
    }
  }

  /** One run of a script, on one connection until it is closed or not reusable. */
  private static final class Run {
    private final Search search;
    private final AnswerMatcher matcher = new AnswerMatcher(new LogPosition(1, 1));
    private final Deque<Sent> stream = new ArrayDeque<>();
    private final List<Sent> answered = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    private int copies;
    private long offset = 1;
    private TransactionState state = TransactionState.IDLE;
    private boolean wrote;

    Run(Search search) {
      this.search = search;
    }

    void play() {
      List<ServerCommand> commands = search.script.commands;
      for (int i = 0; i < commands.size(); i++) {
        ServerCommand command = commands.get(i);
        boolean isBetweenClients =
            i > 0
                && matcher.state() == TransactionState.IDLE
                && !(commands.get(i - 1) instanceof ServerCommand.SetValue);
        if (!deliverUnasked() || (isBetweenClients && !matcher.isReusable())) {
          return;
        }
        trace.add("send " + i);
        if (!awaitAnswer(i, command)) {
          return;
        }
      }
    }

    /** Lets copies arrive while no command is outstanding; returns whether to go on. */
    private boolean deliverUnasked() {
      while (copies < search.maxCopies && search.choose(2) == 1) {
        Sent copy = chooseCopy();
        if (copy == null) {
          return true;
        }
        if (matcher.state() == TransactionState.IDLE) {
          return false;
        }
        if (matcher.match(null, copy.answer()) == Match.MISMATCH) {
          return false;
        }
      }
      return true;
    }

    private boolean awaitAnswer(int index, ServerCommand command) {
      boolean hasRun = false;
      while (true) {
        if (stream.isEmpty()) {
          boolean sendsCopy = copies < search.maxCopies && search.choose(2) == 1;
          Sent copy = sendsCopy ? chooseCopy() : null;
          if (copy != null) {
            stream.add(copy);
          } else if (!hasRun) {
            hasRun = true;
            Sent sent = new Sent(index, execute(command));
            answered.add(sent);
            stream.add(sent);
          } else {
            return false;
          }
        }
        Sent received = stream.remove();
        trace.add("receive " + received.command() + " " + received.answer().signature());
        Match match = search.believesAll ? Match.ANSWER : matcher.match(command, received.answer());
        if (match == Match.MISMATCH) {
          if (received.command() == index && copies == 0 && !isRepeatedBeginning(index)) {
            search.refused.add(trace.toString());
          }
          return false;
        }
        if (match == Match.ANSWER) {
          if (received.command() != index && command.answerKind() != AnswerKind.ACKNOWLEDGEMENT) {
            search.wrong.add(trace.toString());
          }
          if (!hasRun) {
            // The command is carried out, and answered, before the next one.
            Sent late = new Sent(index, execute(command));
            answered.add(late);
            stream.add(late);
          }
          return received.answer().succeeded();
        }
      }
    }

    /** Returns whether a transaction has begun at the same position on the connection before. */
    private boolean isRepeatedBeginning(int index) {
      return search.script.commands.get(index) instanceof ServerCommand.Begin
          && answered.stream()
              .anyMatch(
                  s ->
                      s.command() != index
                          && search.script.commands.get(s.command()) instanceof ServerCommand.Begin
                          && new LogPosition(1, offset).equals(s.answer().position()));
    }

    private @Nullable Sent chooseCopy() {
      if (answered.isEmpty()) {
        return null;
      }
      copies++;
      Sent copy = answered.get(search.choose(answered.size()));
      trace.add("copy of " + copy.command());
      return copy;
    }

    private Answer execute(ServerCommand command) {
      boolean mayFail = command.answerKind() != AnswerKind.ACKNOWLEDGEMENT;
      if (mayFail && search.choose(2) == 1) {
        state = state == TransactionState.IDLE ? state : TransactionState.FAILED;
        return new Answer(
            List.of(), null, FailureCode.OVERLOADED, "server-1", state, position(), null);
      }
      state = command.stateAfter(state);
      String id = command.requestId();
      boolean isWrite = id != null && id.startsWith("w");
      wrote |= isWrite;
      if (state == TransactionState.IDLE && wrote && !(command instanceof ServerCommand.Rollback)) {
        offset++;
      }
      wrote &= state == TransactionState.OPEN;
      List<String> rows = id != null && id.startsWith("r") ? List.of("row of " + id) : List.of();
      return new Answer(
          rows, id == null ? Answer.UNSIGNED : "sig." + id, null, "", state, position(), null);
    }

    private LogPosition position() {
      return new LogPosition(1, offset);
    }
  }
}
