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
 * Works out what a change writes, given all documents as they are. Pure but for its own state; used
 * once, by one thread.
 *
 * <pre>{@code
 * ChangePlan plan = ChangePlan.of(changeSet, declared, now, changeId);
 * if (plan.rejection().isEmpty()) {
 *   send(plan.transaction());
 * }
 * }</pre>
 *
 * <p>The transaction expects the revision of the whole: a change which was checked against the
 * other documents takes effect only beside these documents.
 */
final class ChangePlan {
  private final ChangeSet changeSet;
  private final DeclaredSet declared;
  private final Instant now;
  private final String changeId;
  private final Set<String> seen = new HashSet<>();
  private final List<Finding> findings = new ArrayList<>();
  private final List<VersionConflict> conflicts = new ArrayList<>();
  private final List<ResourceOutcome> outcomes = new ArrayList<>();
  private final Map<String, Resource> after = new LinkedHashMap<>();
  private final StoreTransaction.Builder transaction = StoreTransaction.builder();
  private @Nullable String missing;

  private ChangePlan(ChangeSet changeSet, DeclaredSet declared, Instant now, String changeId) {
    this.changeSet = changeSet;
    this.declared = declared;
    this.now = now;
    this.changeId = changeId;
  }

  /** Works out the plan. */
  static ChangePlan of(ChangeSet changeSet, DeclaredSet declared, Instant now, String changeId) {
    ChangePlan plan = new ChangePlan(changeSet, declared, now, changeId);
    declared.valid().forEach(r -> plan.after.put(r.key(), r));
    changeSet.changes().forEach(plan::add);
    plan.checkTogether();
    plan.transaction.expect(DeclarationKeys.REVISION_KEY, declared.revision());
    DeclarationKeys.markChanged(plan.transaction, changeId);
    return plan;
  }

  /** Returns why nothing may be written, if so. */
  Optional<ChangeResult> rejection() {
    if (missing != null) {
      return Optional.of(new ChangeResult.NotFound(missing));
    }
    if (!findings.isEmpty()) {
      return Optional.of(new ChangeResult.Invalid(List.copyOf(findings)));
    }
    return conflicts.isEmpty()
        ? Optional.empty()
        : Optional.of(new ChangeResult.Conflicted(List.copyOf(conflicts)));
  }

  /** Returns whether anything is written. */
  boolean changes() {
    return outcomes.stream().anyMatch(ResourceOutcome::changes);
  }

  /** Returns what becomes of each document. */
  List<ResourceOutcome> outcomes() {
    return List.copyOf(outcomes);
  }

  /** Returns what is to be written. */
  StoreTransaction transaction() {
    return transaction.build();
  }

  private void add(DocumentChange change) {
    if (!seen.add(change.key())) {
      findings.add(new Finding(change.key(), "$", "the change names this document twice"));
      return;
    }
    StoredResource current = declared.resources().get(change.key());
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
    boolean same = current != null && sameSpec(current, change.resource());
    boolean absentAsExpected = expected == null && (current == null || same || change.force());
    if (!absentAsExpected && !matches(expected, current)) {
      conflicts.add(new VersionConflict(change.key(), expected, current));
      return;
    }
    if (same) {
      outcomes.add(outcome(change, ResourceOutcome.Action.UNCHANGED, current));
      return;
    }
    put(change, change.document().get("spec"), current);
    after.put(change.key(), change.resource());
  }

  private void remove(DocumentChange.Remove change, @Nullable StoredResource current) {
    if (current == null) {
      missing = "there is no " + change.key();
      return;
    }
    if (change.version() != null && !matches(change.version(), current)) {
      conflicts.add(new VersionConflict(change.key(), change.version(), current));
      return;
    }
    String key = DeclarationKeys.document(change.kind(), change.name());
    transaction.expect(key, current.version()).delete(key);
    outcomes.add(outcome(change, ResourceOutcome.Action.DELETED, current));
    after.remove(change.key());
  }

  private void setState(DocumentChange.SetState change, @Nullable StoredResource current) {
    Optional<JsonObject> spec = specOf(current);
    if (current == null || spec.isEmpty()) {
      missing = "there is no " + change.key();
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
      missing = "group \"" + change.group() + "\" has no server \"" + change.server() + "\"";
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
        instanceof ReadResult.Invalid bad) {
      findings.addAll(bad.findings());
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

  /** Reports what does not fit together after the change and did before. */
  private void checkTogether() {
    List<Finding> before = DeclarationReader.checkConsistency(declared.valid());
    DeclarationReader.checkConsistency(List.copyOf(after.values())).stream()
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

  private static Optional<JsonObject> specOf(@Nullable StoredResource current) {
    return current == null || current.resource().isEmpty()
        ? Optional.empty()
        : Optional.of(current.document().getAsJsonObject("spec").deepCopy());
  }

  private static String stateOf(JsonObject server) {
    return server.has("state") ? server.get("state").getAsString() : ServerState.JOINED.name();
  }

  private static boolean sameSpec(StoredResource current, Resource wanted) {
    return current.resource().map(Resource::spec).filter(wanted.spec()::equals).isPresent();
  }

  private static boolean matches(@Nullable String expected, @Nullable StoredResource current) {
    return current != null && Long.toString(current.version()).equals(expected);
  }

  private static ResourceOutcome outcome(
      DocumentChange change, ResourceOutcome.Action action, @Nullable StoredResource current) {
    return new ResourceOutcome(change.key(), action, current == null ? 0 : current.version());
  }
}
