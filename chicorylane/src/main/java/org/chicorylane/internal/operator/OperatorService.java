package org.chicorylane.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.ReadResult;
import org.chicorylane.internal.declaration.Resource;
import org.chicorylane.internal.declaration.ResourceKind;
import org.chicorylane.internal.declaration.ServerState;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.json.JsonDocument;
import org.chicorylane.internal.json.ObjectReader;

/**
 * Answers operators' requests: what each path means, apart from HTTP.
 *
 * <pre>{@code
 * OperatorAnswer answer = service.answer(request);
 * }</pre>
 *
 * <p>Thread-safe. Blocks while the store is asked.
 */
final class OperatorService {
  private static final int MAXIMUM_NAME_LENGTH = 128;
  private static final String NAME_FORM =
      "text of 1 to " + MAXIMUM_NAME_LENGTH + " characters without control characters";

  private final ResourceStore resources;
  private final FleetStatus fleet;

  OperatorService(ResourceStore resources, FleetStatus fleet) {
    this.resources = resources;
    this.fleet = fleet;
  }

  /** Answers a request whose token was checked. */
  OperatorAnswer answer(OperatorRequest request) {
    if (!isName(request.changedBy())) {
      return badRequest("the operator's name is not " + NAME_FORM);
    }
    if (request.at(2, "v1", "status")) {
      return onlyIf(request, "GET", this::status);
    }
    if (request.at(2, "v1", "apply")) {
      return onlyIf(request, "POST", () -> apply(request));
    }
    if (request.at(5, "v1", "servers")) {
      return onlyIf(request, "POST", () -> setState(request));
    }
    if (request.at(2, "v1", "resources") || request.at(3, "v1", "resources")) {
      return onlyIf(request, "GET", () -> list(request));
    }
    if (request.at(4, "v1", "resources")) {
      return resource(request, request.path().get(2), request.path().get(3));
    }
    return notFound("there is no such path");
  }

  private OperatorAnswer resource(OperatorRequest request, String kind, String name) {
    if (ResourceKind.ofName(kind).isEmpty()) {
      return notFound("there is no kind \"" + kind + "\"");
    }
    return switch (request.method()) {
      case "GET" -> get(kind, name);
      case "PUT" -> put(request, kind, name);
      case "DELETE" -> delete(request, kind, name);
      default -> methodNotAllowed("GET, PUT or DELETE");
    };
  }

  private OperatorAnswer status() {
    return new OperatorAnswer(OperatorAnswer.OK, StatusView.show(fleet, resources.read()));
  }

  private OperatorAnswer list(OperatorRequest request) {
    String kind = request.path().size() == 3 ? request.path().get(2) : "";
    if (!kind.isEmpty() && ResourceKind.ofName(kind).isEmpty()) {
      return notFound("there is no kind \"" + kind + "\"");
    }
    if (!(resources.read() instanceof DeclaredResult.Read read)) {
      return OperatorAnswer.unavailable("the store does not answer");
    }
    JsonArray documents = new JsonArray();
    for (StoredResource resource : read.declared().resources().values()) {
      if (kind.isEmpty() || resource.kind().equals(kind)) {
        documents.add(ResourceView.show(resource, fleet.inForce()));
      }
    }
    JsonObject body = new JsonObject();
    body.addProperty("revision", read.declared().revision());
    body.add("documents", documents);
    return new OperatorAnswer(OperatorAnswer.OK, body);
  }

  private OperatorAnswer get(String kind, String name) {
    if (!(resources.read() instanceof DeclaredResult.Read read)) {
      return OperatorAnswer.unavailable("the store does not answer");
    }
    StoredResource resource = read.declared().resources().get(kind + "/" + name);
    return resource == null
        ? notFound("there is no " + kind + "/" + name)
        : new OperatorAnswer(OperatorAnswer.OK, ResourceView.show(resource, fleet.inForce()));
  }

  private OperatorAnswer put(OperatorRequest request, String kind, String name) {
    List<Finding> findings = new ArrayList<>();
    String source = kind + "/" + name;
    Optional<DocumentChange> change = read(source, request.text(), request.flag("force"), findings);
    if (change.isPresent() && !change.get().key().equals(source)) {
      findings.add(new Finding(source, "$.metadata.name", "the document is " + change.get().key()));
    }
    return findings.isEmpty()
        ? change(request, change.stream().toList(), request.changedBy())
        : OperatorAnswer.findings(findings);
  }

  private OperatorAnswer delete(OperatorRequest request, String kind, String name) {
    String version = request.parameter("resourceVersion");
    if (version == null && !request.flag("force")) {
      return badRequest("the parameter resourceVersion is missing, or force=true");
    }
    return change(
        request, List.of(new DocumentChange.Remove(kind, name, version)), request.changedBy());
  }

  private OperatorAnswer setState(OperatorRequest request) {
    Optional<ServerState> state =
        switch (request.path().get(4)) {
          case "drain" -> Optional.of(ServerState.LEAVING);
          case "join" -> Optional.of(ServerState.JOINED);
          default -> Optional.empty();
        };
    if (state.isEmpty()) {
      return notFound("a server knows drain and join");
    }
    DocumentChange change =
        new DocumentChange.SetState(request.path().get(2), request.path().get(3), state.get());
    return change(request, List.of(change), request.changedBy());
  }

  private OperatorAnswer apply(OperatorRequest request) {
    List<Finding> findings = new ArrayList<>();
    ObjectReader root = JsonDocument.parseObject("request", request.utf8(), findings);
    if (root == null) {
      return OperatorAnswer.findings(findings);
    }
    JsonArray documents = root.require("documents").array("documents").orElseGet(JsonArray::new);
    String changedBy = root.string("changedBy").orElse(request.changedBy());
    if (!isName(changedBy)) {
      root.report("changedBy", "the name is not " + NAME_FORM);
    }
    root.reportUnknownMembers();
    List<DocumentChange> changes = new ArrayList<>();
    for (int i = 0; i < documents.size(); i++) {
      JsonElement document = documents.get(i);
      String source = String.format(Locale.ROOT, "documents[%d]", i);
      read(source, document.toString(), request.flag("force"), findings).ifPresent(changes::add);
    }
    return findings.isEmpty()
        ? change(request, changes, changedBy)
        : OperatorAnswer.findings(findings);
  }

  private OperatorAnswer change(
      OperatorRequest request, List<DocumentChange> changes, String changedBy) {
    boolean dryRun = request.flag("dryRun");
    return OperatorAnswer.of(resources.change(new ChangeSet(changes, changedBy, dryRun)), dryRun);
  }

  private static Optional<DocumentChange> read(
      String source, String text, boolean force, List<Finding> findings) {
    ReadResult result = DeclarationReader.read(source, text);
    if (result instanceof ReadResult.Invalid invalid) {
      findings.addAll(invalid.findings());
      return Optional.empty();
    }
    Resource resource = ((ReadResult.Valid) result).resource();
    JsonObject document = JsonParser.parseString(text).getAsJsonObject();
    return Optional.of(new DocumentChange.Replace(document, resource, force));
  }

  /** Names go into the log, where a line break would forge an entry. */
  private static boolean isName(String text) {
    return !text.isBlank()
        && text.length() <= MAXIMUM_NAME_LENGTH
        && text.chars().noneMatch(Character::isISOControl);
  }

  private interface Handler {
    OperatorAnswer answer();
  }

  private static OperatorAnswer onlyIf(OperatorRequest request, String method, Handler handler) {
    return request.method().equals(method) ? handler.answer() : methodNotAllowed(method);
  }

  private static OperatorAnswer methodNotAllowed(String allowed) {
    return OperatorAnswer.problem(
        OperatorAnswer.METHOD_NOT_ALLOWED, OperatorProblem.INVALID, "the path takes " + allowed);
  }

  private static OperatorAnswer notFound(String detail) {
    return OperatorAnswer.problem(OperatorAnswer.NOT_FOUND, OperatorProblem.NOT_FOUND, detail);
  }

  private static OperatorAnswer badRequest(String detail) {
    return OperatorAnswer.problem(OperatorAnswer.BAD_REQUEST, OperatorProblem.INVALID, detail);
  }
}
