package org.chicorylane.internal.operator;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.ReadResult;
import org.chicorylane.internal.declaration.Resource;
import org.chicorylane.internal.declaration.ServerState;
import org.chicorylane.internal.dissemination.DeclarationKeys;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.platform.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Plans the store transaction of a change set against a snapshot of all documents. Has no side
 * effects outside itself. Used once, by one thread.
 *
 * <pre>{@code
 * ChangePlan plan = ChangePlan.of(changeSet, snapshot, now, changeId);
 * if (plan.rejection().isEmpty()) {
 *   send(plan.transaction());
 * }
 * }</pre>
 *
 * <p>The transaction is conditional on the revision of the whole snapshot (optimistic concurrency
 * control), because a change is checked against the other documents and must take effect only
 * together with them.
 */
final class ChangePlan {
  private final ChangeSet changeSet;
  private final ResourceSnapshot snapshot;
  private final Instant now;
  private final String changeId;
  private final Set<String> changedKeys = new HashSet<>();
  private final List<Finding> findings = new ArrayList<>();
  private final List<VersionConflict> conflicts = new ArrayList<>();
  private final List<ResourceOutcome> outcomes = new ArrayList<>();
  private final Map<String, Resource> resourcesAfter = new LinkedHashMap<>();
  private final StoreTransaction.Builder transaction = StoreTransaction.builder();
  private @Nullable String missingDetail;

  private ChangePlan(ChangeSet changeSet, ResourceSnapshot snapshot, Instant now, String changeId) {
    this.changeSet = changeSet;
    this.snapshot = snapshot;
    this.now = now;
    this.changeId = changeId;
  }

  /** Creates the plan. */
  static ChangePlan of(
      ChangeSet changeSet, ResourceSnapshot snapshot, Instant now, String changeId) {
    ChangePlan plan = new ChangePlan(changeSet, snapshot, now, changeId);
    snapshot.validResources().forEach(r -> plan.resourcesAfter.put(r.key(), r));
    changeSet.changes().forEach(plan::add);
    plan.checkConsistency();
    plan.transaction.expect(DeclarationKeys.REVISION_KEY, snapshot.revision());
    DeclarationKeys.markChanged(plan.transaction, changeId);
    return plan;
  }

  /** Returns the reason why nothing may be written; empty if the change may be applied. */
  Optional<ChangeResult> rejection() {
    if (missingDetail != null) {
      return Optional.of(new ChangeResult.NotFound(missingDetail));
    }
    if (!findings.isEmpty()) {
      return Optional.of(new ChangeResult.Invalid(List.copyOf(findings)));
    }
    return conflicts.isEmpty()
        ? Optional.empty()
        : Optional.of(new ChangeResult.Conflicted(List.copyOf(conflicts)));
  }

  /** Returns whether at least one document is written or deleted. */
  boolean hasChanges() {
    return outcomes.stream().anyMatch(ResourceOutcome::isChange);
  }

  /** Returns the outcome for each document. */
  List<ResourceOutcome> outcomes() {
    return List.copyOf(outcomes);
  }

  /** Returns the transaction that applies the change. */
  StoreTransaction transaction() {
    return transaction.build();
  }

  private void add(DocumentChange change) {
    if (!changedKeys.add(change.key())) {
      findings.add(new Finding(change.key(), "$", "the change names this document twice"));
      return;
    }
    StoredResource current = snapshot.resources().get(change.key());
    if (change instanceof DocumentChange.Replace replace) {
      replace(replace, current);
    } else if (change instanceof DocumentChange.Remove remove) {
      remove(remove, current);
    } else if (change instanceof DocumentChange.SetState setState) {
      setState(setState, current);
    }
  }

  private void replace(DocumentChange.Replace change, @Nullable StoredResource current) {
    String expected = change.resource().metadata().resourceVersion();
    boolean specUnchanged = current != null && hasSpec(current, change.resource());
    boolean mayOmitVersion =
        expected == null && (current == null || specUnchanged || change.force());
    if (!mayOmitVersion && !hasVersion(expected, current)) {
      conflicts.add(new VersionConflict(change.key(), expected, current));
      return;
    }
    if (specUnchanged) {
      outcomes.add(outcome(change, ResourceOutcome.Action.UNCHANGED, current));
      return;
    }
    put(change, change.document().get("spec"), current);
    resourcesAfter.put(change.key(), change.resource());
  }

  private void remove(DocumentChange.Remove change, @Nullable StoredResource current) {
    if (current == null) {
      missingDetail = "there is no " + change.key();
      return;
    }
    if (change.version() != null && !hasVersion(change.version(), current)) {
      conflicts.add(new VersionConflict(change.key(), change.version(), current));
      return;
    }
    String key = DeclarationKeys.document(change.kind(), change.name());
    transaction.expect(key, current.version()).delete(key);
    outcomes.add(outcome(change, ResourceOutcome.Action.DELETED, current));
    resourcesAfter.remove(change.key());
  }

  private void setState(DocumentChange.SetState change, @Nullable StoredResource current) {
    Optional<JsonObject> spec = specOf(current);
    if (current == null || spec.isEmpty()) {
      missingDetail = "there is no " + change.key();
      return;
    }
    boolean otherJoined = false;
    JsonObject target = null;
    for (JsonElement e : spec.get().getAsJsonArray("servers")) {
      JsonObject server = e.getAsJsonObject();
      if (server.get("name").getAsString().equals(change.server())) {
        target = server;
      } else {
        otherJoined |= stateOf(server).equals(ServerState.JOINED.name());
      }
    }
    if (target == null) {
      missingDetail = "group \"" + change.group() + "\" has no server \"" + change.server() + "\"";
      return;
    }
    if (stateOf(target).equals(change.state().name())) {
      outcomes.add(outcome(change, ResourceOutcome.Action.UNCHANGED, current));
      return;
    }
    if (!otherJoined && change.state() == ServerState.LEAVING) {
      findings.add(
          new Finding(
              change.key(),
              "$.spec.servers",
              "\"" + change.server() + "\" is the last server that is JOINED"));
      return;
    }
    target.addProperty("state", change.state().name());
    put(change, spec.get(), current);
  }

  private void put(DocumentChange change, JsonElement spec, @Nullable StoredResource current) {
    String[] parts = change.key().split("/", 2);
    JsonObject document = document(parts[0], parts[1], spec, current);
    String key = DeclarationKeys.document(parts[0], parts[1]);
    transaction.expect(key, current == null ? 0 : current.version()).put(key, document.toString());
    if (DeclarationReader.read(change.key(), document.toString())
        instanceof ReadResult.Invalid invalid) {
      findings.addAll(invalid.findings());
    }
    ResourceOutcome.Action action =
        current == null ? ResourceOutcome.Action.CREATED : ResourceOutcome.Action.REPLACED;
    outcomes.add(outcome(change, action, current));
  }

  private JsonObject document(
      String kind, String name, JsonElement spec, @Nullable StoredResource current) {
    JsonObject metadata = new JsonObject();
    metadata.addProperty("name", name);
    metadata.addProperty("generation", generationOf(current) + 1);
    metadata.addProperty("changedBy", changeSet.changedBy());
    metadata.addProperty("changedAt", now.toString());
    metadata.addProperty("changeId", changeId);
    JsonObject document = new JsonObject();
    document.addProperty("apiVersion", DeclarationReader.API_VERSION);
    document.addProperty("kind", kind);
    document.add("metadata", metadata);
    document.add("spec", spec);
    return document;
  }

  /** Adds a finding for each inconsistency that the change introduces. */
  private void checkConsistency() {
    List<Finding> before = DeclarationReader.checkConsistency(snapshot.validResources());
    DeclarationReader.checkConsistency(List.copyOf(resourcesAfter.values())).stream()
        .filter(f -> !before.contains(f))
        .forEach(findings::add);
  }

  private static long generationOf(@Nullable StoredResource current) {
    try {
      return Optional.ofNullable(current)
          .flatMap(c -> c.metadata("generation"))
          .map(Long::valueOf)
          .orElse(0L);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns a copy of the spec; empty if there is no document or it is invalid. */
  private static Optional<JsonObject> specOf(@Nullable StoredResource current) {
    return current == null || current.resource().isEmpty()
        ? Optional.empty()
        : Optional.of(current.document().getAsJsonObject("spec").deepCopy());
  }

  private static String stateOf(JsonObject server) {
    return server.has("state") ? server.get("state").getAsString() : ServerState.JOINED.name();
  }

  private static boolean hasSpec(StoredResource current, Resource wanted) {
    return current.resource().map(Resource::spec).filter(wanted.spec()::equals).isPresent();
  }

  private static boolean hasVersion(@Nullable String expected, @Nullable StoredResource current) {
    return current != null && Long.toString(current.version()).equals(expected);
  }

  private static ResourceOutcome outcome(
      DocumentChange change, ResourceOutcome.Action action, @Nullable StoredResource current) {
    return new ResourceOutcome(change.key(), action, current == null ? 0 : current.version());
  }
}
