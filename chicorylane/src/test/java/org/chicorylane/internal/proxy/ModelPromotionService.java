package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.election.Promoter;
import org.chicorylane.internal.passthrough.ModelGroup;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * The simulated platform service that promotes servers: executes a call after a delay, answers it,
 * and makes the server the primary some time later, with the log that it has then.
 *
 * <p>A call for the present primary is accepted and changes nothing. By default it rejects a call
 * whose fencing token is lower than one that it has executed. It records a violation if a caller
 * sends a token lower than one that was sent before.
 */
final class ModelPromotionService {

  /** A promotion call as it was sent. */
  record Order(String caller, String serverId, long token) {}

  /** How long a caller waits for an answer. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

  private static final Duration USUAL_EXECUTION = Duration.ofMillis(5);
  private static final Duration USUAL_EFFECT = Duration.ofMillis(295);

  private final Scheduler scheduler;
  private final Function<String, ModelGroup> groups;
  private final List<String> violations;
  private long highestSentToken;
  private long highestExecutedToken;

  /** Tokens of the calls that have arrived at the platform, in order of arrival. */
  final List<Long> arrivedTokens = new ArrayList<>();

  /** Ids of the servers for which a call was accepted, in order of the acceptances. */
  final List<String> accepted = new ArrayList<>();

  /** Time between a call and its execution. */
  Duration untilExecuted = USUAL_EXECUTION;

  /** Time between the execution of a call and the moment the server leads. */
  Duration untilEffect = USUAL_EFFECT;

  /** Whether calls with a token lower than an executed one are rejected. */
  boolean checksTokens = true;

  /** Fault: calls are lost before they are executed. */
  boolean losesCalls;

  /** Fault: calls are executed, and their answers are lost. */
  boolean losesAnswers;

  /** Called with each call when it is sent. */
  Consumer<Order> onOrder = order -> {};

  /** Called with the id of a server right after it has become the primary. */
  Consumer<String> onEffect = serverId -> {};

  ModelPromotionService(
      Scheduler scheduler, Function<String, ModelGroup> groups, List<String> violations) {
    this.scheduler = scheduler;
    this.groups = groups;
    this.violations = violations;
  }

  /** Restores the usual delays for calls from now on. */
  void resetDelays() {
    untilExecuted = USUAL_EXECUTION;
    untilEffect = USUAL_EFFECT;
  }

  /** Takes a call that an instance sends; the outcome is passed on once. */
  void call(
      String caller,
      String group,
      String serverId,
      long token,
      Consumer<Promoter.Outcome> onOutcome) {
    if (token < highestSentToken) {
      violations.add("fencing token " + token + " after " + highestSentToken);
    }
    highestSentToken = Math.max(highestSentToken, token);
    onOrder.accept(new Order(caller, serverId, token));
    if (losesCalls) {
      scheduler.schedule(ANSWER_TIMEOUT, () -> onOutcome.accept(Promoter.Outcome.UNKNOWN));
    } else {
      Reply reply = new Reply(onOutcome);
      boolean answerLost = losesAnswers;
      Duration effect = untilEffect;
      scheduler.schedule(
          untilExecuted,
          () -> {
            Promoter.Outcome outcome = execute(groups.apply(group), serverId, token, effect);
            if (!answerLost) {
              reply.send(outcome);
            }
          });
    }
  }

  private Promoter.Outcome execute(
      ModelGroup group, String serverId, long token, Duration untilLeads) {
    arrivedTokens.add(token);
    ModelServer server = group.server(serverId);
    boolean runs = server != null && server.running && !server.unresponsive;
    if (!runs || (checksTokens && token < highestExecutedToken)) {
      return Promoter.Outcome.REJECTED;
    }
    highestExecutedToken = Math.max(highestExecutedToken, token);
    if (server == group.primary()) {
      return Promoter.Outcome.ACCEPTED;
    }
    accepted.add(serverId);
    scheduler.schedule(
        untilLeads,
        () -> {
          if (server.running && server != group.primary()) {
            group.promote(serverId);
            onEffect.accept(serverId);
          }
        });
    return Promoter.Outcome.ACCEPTED;
  }

  /** The outcome of one call, unknown if no answer is sent in time. */
  private final class Reply {
    private final Consumer<Promoter.Outcome> onOutcome;
    private boolean done;

    Reply(Consumer<Promoter.Outcome> onOutcome) {
      this.onOutcome = onOutcome;
      scheduler.schedule(ANSWER_TIMEOUT, () -> finish(Promoter.Outcome.UNKNOWN));
    }

    void send(Promoter.Outcome outcome) {
      scheduler.schedule(Duration.ofMillis(5), () -> finish(outcome));
    }

    private void finish(Promoter.Outcome outcome) {
      if (!done) {
        done = true;
        onOutcome.accept(outcome);
      }
    }
  }
}
