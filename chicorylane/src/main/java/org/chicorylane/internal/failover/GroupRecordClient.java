package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Reads and swaps the group's record in the key-value service, with at most one request
 * outstanding.
 *
 * <p>A swap stays pending until it is known to have taken effect or to be impossible. After a lost
 * answer the record is read back; while it is unchanged, the same swap is sent again, because the
 * lost one may still arrive.
 *
 * <p>Not thread-safe.
 */
final class GroupRecordClient {
  /** The kind of the outstanding request. */
  private enum Request {
    NONE,
    READ,
    SWAP
  }

  private final HomeContext context;
  private Request request = Request.NONE;
  private Instant requestedAt = Instant.MIN;

  /** When the request was sent whose answer confirmed {@link #stored} last. */
  private Instant storedAsOf = Instant.MIN;

  private Instant changeLearnedAt = Instant.MIN;
  private Instant retryAt = Instant.MIN;
  private int failures;
  private boolean readRequested;
  private boolean hasBeenRead;
  private boolean isSwapOutcomeUnknown;
  private @Nullable StoredRecord stored;
  private @Nullable GroupRecord pendingSwap;
  private long expectedRevision;

  /** The connections that held their locks when the pending swap began; its success fences them. */
  private List<ControlConnection> connectionsLockedAtSwap = List.of();

  GroupRecordClient(HomeContext context) {
    this.context = context;
  }

  /** Returns the last known record; null if none is known to exist. */
  @Nullable GroupRecord record() {
    return stored == null ? null : stored.record();
  }

  /** Returns the last known revision; 0 if the record does not exist. */
  long revision() {
    return stored == null ? 0 : stored.modRevision();
  }

  /** Returns whether the key-value service has ever answered a read. */
  boolean hasBeenRead() {
    return hasBeenRead;
  }

  /** Returns whether the service failed to answer the last request. */
  boolean isUnavailable() {
    return failures > 0;
  }

  /**
   * Returns whether the last known record comes from a request that was sent at {@code since} or
   * later.
   */
  boolean isCurrentAsOf(Instant since) {
    return hasBeenRead && !storedAsOf.isBefore(since);
  }

  /**
   * Returns whether the last observation of the server was requested after the last change of the
   * record was learned.
   */
  boolean isObservedSinceRecordChanged(ServerControl control) {
    return control.isObservedSince(changeLearnedAt);
  }

  /** Returns whether a swap may be started now. */
  boolean canSwap() {
    return pendingSwap == null && request == Request.NONE && hasBeenRead && context.isDue(retryAt);
  }

  /** Returns whether a swap is pending. */
  boolean isSwapping() {
    return pendingSwap != null;
  }

  /** Requests a read of the record, to be sent no earlier than now. */
  void requestRead() {
    requestReadSince(context.now());
  }

  /**
   * Requests a read of the record, unless a read that was sent at {@code since} or later is still
   * unanswered.
   */
  void requestReadSince(Instant since) {
    if (request != Request.READ || requestedAt.isBefore(since)) {
      readRequested = true;
    }
  }

  /**
   * Starts a swap of the record.
   *
   * @throws IllegalStateException if {@link #canSwap} returns false
   */
  void swap(GroupRecord next) {
    if (!canSwap()) {
      throw new IllegalStateException("a request to the key-value service is pending");
    }
    pendingSwap = next;
    expectedRevision = revision();
    connectionsLockedAtSwap =
        context.controls().stream()
            .filter(ServerControl::isLocked)
            .map(ServerControl::connection)
            .toList();
    sendSwap();
  }

  /** Sends a read if one is requested or the outcome of a swap is unknown. */
  void step() {
    if (request != Request.NONE || !context.isDue(retryAt)) {
      return;
    }
    if (readRequested || isSwapOutcomeUnknown) {
      request = Request.READ;
      requestedAt = context.now();
      readRequested = false;
      context.emit(new HomeAction.ReadRecord());
    }
  }

  private void sendSwap() {
    if (pendingSwap == null) {
      return;
    }
    request = Request.SWAP;
    requestedAt = context.now();
    isSwapOutcomeUnknown = false;
    context.emit(new HomeAction.SwapRecord(expectedRevision, pendingSwap));
  }

  void onRead(@Nullable StoredRecord read) {
    request = Request.NONE;
    failures = 0;
    hasBeenRead = true;
    if (pendingSwap == null) {
      acceptRecord(read);
      return;
    }
    if (read != null && read.record().promoter().equals(pendingSwap.promoter())) {
      completeSwap(read);
    } else if ((read == null ? 0 : read.modRevision()) == expectedRevision) {
      sendSwap();
    } else {
      abortSwap(read);
    }
  }

  void onUnavailable(String reason) {
    request = Request.NONE;
    if (failures == 0) {
      context.report(HomeReport.RECORD_UNAVAILABLE, reason);
    }
    failures++;
    readRequested = true;
    FailoverTimings timings = context.timings();
    retryAt =
        context
            .now()
            .plus(context.backoff(timings.storeRetry(), timings.storeRetryLimit(), failures));
  }

  void onSwapped(SwapResult result) {
    request = Request.NONE;
    if (result instanceof SwapResult.Unsettled unsettled) {
      isSwapOutcomeUnknown = true;
      onUnavailable(unsettled.reason());
      return;
    }
    failures = 0;
    if (pendingSwap == null) {
      return;
    }
    if (result instanceof SwapResult.Applied applied) {
      completeSwap(new StoredRecord(pendingSwap, applied.modRevision()));
    } else if (result instanceof SwapResult.Conflict conflict) {
      StoredRecord current = conflict.current();
      if (current != null && current.record().promoter().equals(pendingSwap.promoter())) {
        completeSwap(current);
      } else {
        abortSwap(current);
      }
    }
  }

  private void completeSwap(StoredRecord written) {
    pendingSwap = null;
    isSwapOutcomeUnknown = false;
    acceptRecord(written);
    for (ControlConnection connection : connectionsLockedAtSwap) {
      ServerControl control = context.control(connection.server());
      if (control != null && control.isLocked() && control.connection().equals(connection)) {
        control.setFenced();
      }
    }
  }

  private void abortSwap(@Nullable StoredRecord current) {
    pendingSwap = null;
    isSwapOutcomeUnknown = false;
    context.report(HomeReport.RECORD_CONFLICT, "expected revision " + expectedRevision);
    acceptRecord(current);
  }

  private void acceptRecord(@Nullable StoredRecord read) {
    StoredRecord before = stored;
    if (before != null && (read == null || read.modRevision() < before.modRevision())) {
      context.emit(
          new HomeAction.InvariantBroken(
              "the record's revision never falls", before + " was followed by " + read));
      return;
    }
    if (before != null && read != null && read.record().term() < before.record().term()) {
      context.emit(
          new HomeAction.InvariantBroken(
              "the record's term never falls", before + " was followed by " + read));
      return;
    }
    storedAsOf = requestedAt;
    if (read == null || before == null || read.modRevision() != before.modRevision()) {
      changeLearnedAt = context.now();
    }
    stored = read;
  }
}
