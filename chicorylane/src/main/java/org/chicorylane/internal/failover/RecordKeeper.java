package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Reads and changes the group's record in the key-value service, one request at a time.
 *
 * <p>A swap stays pending until it is known to have taken effect or to be impossible: after a lost
 * answer the record is read back, and while it is unchanged the same swap is sent again, since the
 * lost one may still arrive.
 *
 * <p>Not thread-safe.
 */
final class RecordKeeper {
  private enum Request {
    NONE,
    READ,
    SWAP
  }

  private final HomeContext context;
  private Request request = Request.NONE;
  private Instant requestedAt = Instant.MIN;
  private Instant knownSince = Instant.MIN;
  private Instant knownAt = Instant.MIN;
  private Instant retryAt = Instant.MIN;
  private int failures;
  private boolean readWanted;
  private boolean everRead;
  private boolean unsettled;
  private @Nullable StoredRecord stored;
  private @Nullable GroupRecord swap;
  private long expectedRevision;
  private List<ControlConnection> lockedAtSwap = List.of();

  RecordKeeper(HomeContext context) {
    this.context = context;
  }

  /** Returns the record as last known; null if none is known to exist. */
  @Nullable GroupRecord record() {
    return stored == null ? null : stored.record();
  }

  /** Returns the last known revision; 0 if the record does not exist. */
  long revision() {
    return stored == null ? 0 : stored.modRevision();
  }

  /** Returns whether the key-value service has answered a read at all. */
  boolean wasEverRead() {
    return everRead;
  }

  /** Returns whether the service failed to answer the last request. */
  boolean isUnavailable() {
    return failures > 0;
  }

  /** Returns whether the record was read by a request sent at {@code since} or later. */
  boolean isKnownSince(Instant since) {
    return everRead && !knownSince.isBefore(since);
  }

  /** Returns whether the server was observed by a question sent after the record was known. */
  boolean isKnownBefore(ServerControl control) {
    return control.isObservedSince(knownAt);
  }

  /** Returns whether a swap may be begun. */
  boolean canSwap() {
    return swap == null && request == Request.NONE && everRead && context.isDue(retryAt);
  }

  /** Returns whether a swap is pending. */
  boolean isSwapping() {
    return swap != null;
  }

  /** Asks for a read that is sent now or later. */
  void wantRead() {
    wantReadSince(context.now());
  }

  /** Asks for a read, unless one that was sent at {@code since} or later is unanswered. */
  void wantReadSince(Instant since) {
    if (request != Request.READ || requestedAt.isBefore(since)) {
      readWanted = true;
    }
  }

  /** Begins a swap; only if {@link #canSwap}. */
  void swap(GroupRecord next) {
    if (!canSwap()) {
      throw new IllegalStateException("a request to the key-value service is pending");
    }
    swap = next;
    expectedRevision = revision();
    lockedAtSwap =
        context.controls().stream()
            .filter(ServerControl::isLocked)
            .map(ServerControl::connection)
            .toList();
    sendSwap();
  }

  /** Sends what is due. */
  void step() {
    if (request != Request.NONE || !context.isDue(retryAt)) {
      return;
    }
    if (readWanted || unsettled) {
      request = Request.READ;
      requestedAt = context.now();
      readWanted = false;
      context.emit(new HomeAction.ReadRecord());
    }
  }

  private void sendSwap() {
    if (swap == null) {
      return;
    }
    request = Request.SWAP;
    requestedAt = context.now();
    unsettled = false;
    context.emit(new HomeAction.SwapRecord(expectedRevision, swap));
  }

  void onRead(@Nullable StoredRecord read) {
    request = Request.NONE;
    failures = 0;
    everRead = true;
    if (swap == null) {
      learn(read);
      return;
    }
    if (read != null && read.record().promoter().equals(swap.promoter())) {
      settled(read);
    } else if ((read == null ? 0 : read.modRevision()) == expectedRevision) {
      sendSwap();
    } else {
      conflict(read);
    }
  }

  void onUnavailable(String reason) {
    request = Request.NONE;
    if (failures == 0) {
      context.report(HomeReport.RECORD_UNAVAILABLE, reason);
    }
    failures++;
    readWanted = true;
    FailoverTimings timings = context.timings();
    retryAt =
        context
            .now()
            .plus(context.backoff(timings.storeRetry(), timings.storeRetryLimit(), failures));
  }

  void onSwapped(SwapResult result) {
    request = Request.NONE;
    if (result instanceof SwapResult.Unsettled lost) {
      unsettled = true;
      onUnavailable(lost.reason());
      return;
    }
    failures = 0;
    if (swap == null) {
      return;
    }
    if (result instanceof SwapResult.Applied applied) {
      settled(new StoredRecord(swap, applied.modRevision()));
    } else if (result instanceof SwapResult.Conflict lost) {
      StoredRecord current = lost.current();
      if (current != null && current.record().promoter().equals(swap.promoter())) {
        settled(current);
      } else {
        conflict(current);
      }
    }
  }

  private void settled(StoredRecord written) {
    swap = null;
    unsettled = false;
    learn(written);
    for (ControlConnection connection : lockedAtSwap) {
      ServerControl control = context.control(connection.server());
      if (control != null && control.isLocked() && control.connection().equals(connection)) {
        control.setFenced();
      }
    }
  }

  private void conflict(@Nullable StoredRecord current) {
    swap = null;
    unsettled = false;
    context.report(HomeReport.RECORD_CONFLICT, "expected revision " + expectedRevision);
    learn(current);
  }

  private void learn(@Nullable StoredRecord read) {
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
    knownSince = requestedAt;
    if (read == null || before == null || read.modRevision() != before.modRevision()) {
      knownAt = context.now();
    }
    stored = read;
  }
}
