package org.chicorylane.internal.operator;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.chicorylane.internal.dissemination.DeclarationKeys;
import org.chicorylane.internal.platform.ConditionalWriteResult;
import org.chicorylane.internal.platform.ConditionalWriter;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.tinylog.Logger;

/**
 * Reads and changes the resource documents in the platform's key-value service.
 *
 * <pre>{@code
 * ChangeResult result = resources.change(new ChangeSet(changes, "ana", false));
 * }</pre>
 *
 * <p>If the response to a change is lost, the change id in the store shows whether it was applied.
 * A change that conflicts with a concurrent change of other documents is planned again and retried;
 * a concurrent change of the same document is reported as a conflict.
 *
 * <p>Thread-safe. Methods block until the store responds or the operation is given up.
 */
final class ResourceStore {
  private static final int MAX_ATTEMPTS = 16;

  private final KeyValueStore store;
  private final ConditionalWriter writer;
  private final InstantSource clock;

  /**
   * Creates a resource store.
   *
   * @param delayer returns a future that completes normally after the given time
   */
  ResourceStore(
      KeyValueStore store,
      Function<Duration, CompletableFuture<Void>> delayer,
      InstantSource clock) {
    this.store = store;
    this.writer = new ConditionalWriter(store, delayer);
    this.clock = clock;
  }

  /** Reads a consistent snapshot of all documents and their revision. */
  SnapshotResult read() {
    ReadResult documents = store.range(DeclarationKeys.DOCUMENT_PREFIX).join();
    if (!(documents instanceof ReadResult.Read read)) {
      return new SnapshotResult.Unavailable(failureReason(documents));
    }
    ReadResult revisionMark = store.getAt(DeclarationKeys.REVISION_KEY, read.revision()).join();
    if (!(revisionMark instanceof ReadResult.Read revisionRead)) {
      return new SnapshotResult.Unavailable(failureReason(revisionMark));
    }
    SortedMap<String, StoredResource> resources = new TreeMap<>();
    for (KeyValueEntry entry : read.entries()) {
      StoredResource resource = StoredResource.of(entry);
      resources.put(resource.key(), resource);
    }
    long revision = revisionRead.first().map(KeyValueEntry::modRevision).orElse(0L);
    return new SnapshotResult.Read(new ResourceSnapshot(resources, revision));
  }

  /** Applies all changes atomically, or none. */
  ChangeResult change(ChangeSet changeSet) {
    String changeId = UUID.randomUUID().toString();
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      SnapshotResult result = read();
      if (!(result instanceof SnapshotResult.Read read)) {
        return new ChangeResult.Unavailable(((SnapshotResult.Unavailable) result).reason());
      }
      ChangePlan plan = ChangePlan.of(changeSet, read.snapshot(), clock.instant(), changeId);
      Optional<ChangeResult> rejection = plan.rejection();
      if (rejection.isPresent()) {
        return rejection.get();
      }
      if (changeSet.dryRun() || !plan.hasChanges()) {
        return new ChangeResult.Applied(read.snapshot().revision(), plan.outcomes());
      }
      ConditionalWriteResult settled = writer.transact(plan.transaction(), changeId).join();
      if (!(settled instanceof ConditionalWriteResult.Conflict)) {
        return toResult(settled, plan, changeSet.changedBy(), changeId);
      }
    }
    return new ChangeResult.Unavailable(
        "other changes came first " + MAX_ATTEMPTS + " times; nothing was changed");
  }

  private static ChangeResult toResult(
      ConditionalWriteResult settled, ChangePlan plan, String changedBy, String changeId) {
    if (settled instanceof ConditionalWriteResult.Applied applied) {
      for (ResourceOutcome outcome : plan.outcomes()) {
        Logger.info(
            "operator change: {} {} by {} from version {} to {} (change {})",
            outcome.key(),
            outcome.action(),
            changedBy,
            outcome.fromVersion(),
            outcome.isChange() ? applied.revision() : outcome.fromVersion(),
            changeId);
      }
      return new ChangeResult.Applied(applied.revision(), plan.outcomes());
    }
    if (settled instanceof ConditionalWriteResult.Refused refused) {
      return new ChangeResult.Unavailable(refused.reason());
    }
    String reason = ((ConditionalWriteResult.Unsettled) settled).reason();
    Logger.warn("operator change unsettled: {} by {}: {}", changeId, changedBy, reason);
    return new ChangeResult.Unsettled(reason, changeId);
  }

  private static String failureReason(ReadResult result) {
    return result instanceof ReadResult.Refused refused
        ? "the store refused: " + refused.reason()
        : "the store does not answer: " + ((ReadResult.Unavailable) result).reason();
  }
}
