package org.chicorylane.internal.election;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The last server whose promotion was ordered, and whether the order may still take effect. Until
 * it cannot, no other server may be promoted or used as the primary: the later promotion would roll
 * back the commits that were acknowledged in the term of the earlier one.
 *
 * <p>Confined to the instance's thread.
 */
final class PromotionOrders {

  /** Time after which an order without an answer is assumed to have no effect any more. */
  static final Duration LIFETIME = Duration.ofSeconds(8);

  /**
   * Time after which an accepted order is assumed to have been carried out or to have failed, if
   * the platform then answers that the server does not run. A leaving home waits that long for an
   * order that was not answered.
   */
  static final Duration EFFECT_LIMIT = Duration.ofSeconds(3);

  /**
   * An ordered promotion.
   *
   * @param serverId the server that was to be promoted
   * @param expired whether the order can no longer take effect
   * @param settled whether it is known whether it took effect; false after an order that was not
   *     rejected and has not been seen to take effect
   * @param inherited whether an earlier home sent it, and may have used the server as the primary
   * @param repeatDue whether the order should be repeated if the server does not answer
   */
  record State(
      String serverId, boolean expired, boolean settled, boolean inherited, boolean repeatDue) {

    /**
     * Returns whether a server that leads may be used as the primary beside this order. After an
     * order that may have taken effect unseen, the server has to be promoted again first.
     */
    boolean permits(String otherServerId) {
      return (expired && settled) || otherServerId.equals(serverId);
    }
  }

  private @Nullable String target;

  /** Time of the last order that was not rejected, and of the order before it. */
  private long lastSentNanos;

  private long previousSentNanos;

  /** Whether an order of the target was answered with success or not at all. */
  private boolean mayTakeEffect;

  /** Number of orders of the target that were sent, and of those that were accepted. */
  private int sent;

  private int accepted;
  private boolean inherited;
  private boolean senderExcluded = true;
  private boolean rejected;
  private boolean tookEffect;
  private boolean repeated;

  /** Takes over the order of an earlier home, which may still repeat it. */
  void inherit(String serverId, long nowNanos) {
    start(serverId);
    lastSentNanos = nowNanos;
    mayTakeEffect = true;
    inherited = true;
    senderExcluded = false;
  }

  /** Takes over the orders of an earlier home for the present primary that may be outstanding. */
  void inheritOutstanding(String serverId, long nowNanos) {
    inherit(serverId, nowNanos);
    inherited = false;
    tookEffect = true;
  }

  /** Returns the present primary if further orders for it may be outstanding; null if not. */
  @Nullable String outstanding(long nowNanos) {
    State state = state(nowNanos);
    return state != null && tookEffect && !state.expired() ? state.serverId() : null;
  }

  /** Records that the earlier home can send no further order. */
  void onSenderExcluded(long nowNanos) {
    if (!senderExcluded) {
      senderExcluded = true;
      lastSentNanos = nowNanos;
    }
  }

  /** Records that the promotion of a server is being ordered. */
  void onSent(String serverId, long nowNanos) {
    if (!serverId.equals(target)) {
      start(serverId);
    }
    previousSentNanos = lastSentNanos;
    lastSentNanos = nowNanos;
    sent++;
  }

  /**
   * Returns whether an order that this home sent may still be on its way, so that an order of
   * another home would overtake it.
   */
  boolean isUnanswered(long nowNanos) {
    boolean isRecent = nowNanos - lastSentNanos <= EFFECT_LIMIT.toNanos();
    return target != null && sent > accepted && isRecent;
  }

  /** Records that the order is sent again to a server that does not answer. */
  void onRepeat() {
    repeated = true;
  }

  private void start(String serverId) {
    target = serverId;
    senderExcluded = true;
    sent = 0;
    accepted = 0;
    mayTakeEffect = false;
    inherited = false;
    rejected = false;
    tookEffect = false;
    repeated = false;
  }

  /**
   * Records the answer to the last order of a server. A rejection tells that the server does not
   * run; an earlier order may have been accepted before, or be under way without an answer.
   */
  void onOutcome(String serverId, Promoter.Outcome outcome, long nowNanos) {
    if (!serverId.equals(target)) {
      return;
    }
    if (outcome != Promoter.Outcome.REJECTED) {
      mayTakeEffect = true;
      accepted += outcome == Promoter.Outcome.ACCEPTED ? 1 : 0;
      return;
    }
    sent--;
    if (!mayTakeEffect) {
      target = null;
      return;
    }
    lastSentNanos = previousSentNanos;
    boolean allAnswered = !inherited && sent == accepted;
    rejected = allAnswered && nowNanos - lastSentNanos > EFFECT_LIMIT.toNanos();
  }

  /**
   * Records that a server leads a new term: the one that was ordered, or another one. A further
   * order of the same server may still be carried out, after yet another one has been promoted.
   */
  void onNewPrimary(String serverId) {
    boolean wasOnlyOrder = !inherited && sent == 1 && accepted == 1;
    inherited = false;
    if (serverId.equals(target)) {
      tookEffect = true;
      target = wasOnlyOrder ? null : target;
    }
  }

  /** Returns whether a server may be used as the primary beside the orders that were sent. */
  boolean permits(String serverId, long nowNanos) {
    State state = state(nowNanos);
    return state == null || state.permits(serverId);
  }

  /** Returns the last ordered promotion that was not rejected, null if there is none. */
  @Nullable State state(long nowNanos) {
    String serverId = target;
    if (serverId == null) {
      return null;
    }
    long ageNanos = nowNanos - lastSentNanos;
    boolean expired = senderExcluded && (rejected || ageNanos > LIFETIME.toNanos());
    boolean repeatDue = !tookEffect && !repeated && ageNanos > EFFECT_LIMIT.toNanos();
    return new State(serverId, expired, rejected || tookEffect, inherited, repeatDue);
  }
}
