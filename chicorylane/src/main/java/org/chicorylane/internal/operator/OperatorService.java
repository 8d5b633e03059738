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
 * Routes operator requests by path and method and handles them, independently of the HTTP server.
 *
 * <pre>{@code
 * OperatorResponse response = service.handle(request);
 * }</pre>
 *
 * <p>Thread-safe. Blocks while the store processes a request.
 */
final class OperatorService {
  private static final int MAXIMUM_NAME_LENGTH = 128;
  private static final String NAME_DESCRIPTION =
      "text of 1 to " + MAXIMUM_NAME_LENGTH + " characters without control characters";

  private final ResourceStore resources;
  private final FleetStatus fleet;

  OperatorService(ResourceStore resources, FleetStatus fleet) {
    this.resources = resources;
    this.fleet = fleet;
  }

  /** Handles a request whose bearer token has been verified. */
  OperatorResponse handle(OperatorRequest request) {
    if (!isValidName(request.changedBy())) {
      return badRequest("the operator's name is not " + NAME_DESCRIPTION);
    }
    if (request.matchesPath(2, "v1", "status")) {
      return requireMethod(request, "GET", this::status);
    }
    if (request.matchesPath(2, "v1", "apply")) {
      return requireMethod(request, "POST", () -> apply(request));
    }
    if (request.matchesPath(5, "v1", "servers")) {
      return requireMethod(request, "POST", () -> setState(request));
    }
    if (request.matchesPath(2, "v1", "resources") || request.matchesPath(3, "v1", "resources")) {
      return requireMethod(request, "GET", () -> list(request));
    }
    if (request.matchesPath(4, "v1", "resources")) {
      return resource(request, request.path().get(2), request.path().get(3));
    }
    return notFound("there is no such path");
  }

  private OperatorResponse resource(OperatorRequest request, String kind, String name) {
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

  private OperatorResponse status() {
    return new OperatorResponse(OperatorResponse.OK, StatusView.toJson(fleet, resources.read()));
  }

  private OperatorResponse list(OperatorRequest request) {
    String kind = request.path().size() == 3 ? request.path().get(2) : "";
    if (!kind.isEmpty() && ResourceKind.ofName(kind).isEmpty()) {
      return notFound("there is no kind \"" + kind + "\"");
    }
    if (!(resources.read() instanceof SnapshotResult.Read read)) {
      return OperatorResponse.unavailable("the store does not answer");
    }
    JsonArray documents = new JsonArray();
    for (StoredResource resource : read.snapshot().resources().values()) {
      if (kind.isEmpty() || resource.kind().equals(kind)) {
        documents.add(ResourceView.toJson(resource, fleet.inForce()));
      }
    }
    JsonObject body = new JsonObject();
    body.addProperty("revision", read.snapshot().revision());
    body.add("documents", documents);
    return new OperatorResponse(OperatorResponse.OK, body);
  }

  private OperatorResponse get(String kind, String name) {
    if (!(resources.read() instanceof SnapshotResult.Read read)) {
      return OperatorResponse.unavailable("the store does not answer");
    }
    StoredResource resource = read.snapshot().resources().get(kind + "/" + name);
    return resource == null
        ? notFound("there is no " + kind + "/" + name)
        : new OperatorResponse(OperatorResponse.OK, ResourceView.toJson(resource, fleet.inForce()));
  }

  private OperatorResponse put(OperatorRequest request, String kind, String name) {
    List<Finding> findings = new ArrayList<>();
    String source = kind + "/" + name;
    Optional<DocumentChange> change =
        read(source, request.bodyText(), request.isTrue("force"), findings);
    if (change.isPresent() && !change.get().key().equals(source)) {
      findings.add(new Finding(source, "$.metadata.name", "the document is " + change.get().key()));
    }
    return findings.isEmpty()
        ? change(request, change.stream().toList(), request.changedBy())
        : OperatorResponse.findings(findings);
  }

  private OperatorResponse delete(OperatorRequest request, String kind, String name) {
    String version = request.parameter("resourceVersion");
    if (version == null && !request.isTrue("force")) {
      return badRequest("the parameter resourceVersion is missing, or force=true");
    }
    return change(
        request, List.of(new DocumentChange.Remove(kind, name, version)), request.changedBy());
  }

  private OperatorResponse setState(OperatorRequest request) {
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

  private OperatorResponse apply(OperatorRequest request) {
    List<Finding> findings = new ArrayList<>();
    ObjectReader root = JsonDocument.parseObject("request", request.bodyBytes(), findings);
    if (root == null) {
      return OperatorResponse.findings(findings);
    }
    JsonArray documents = root.require("documents").array("documents").orElseGet(JsonArray::new);
    String changedBy = root.string("changedBy").orElse(request.changedBy());
    if (!isValidName(changedBy)) {
      root.report("changedBy", "the name is not " + NAME_DESCRIPTION);
    }
    root.reportUnknownMembers();
    List<DocumentChange> changes = new ArrayList<>();
    for (int i = 0; i < documents.size(); i++) {
      JsonElement document = documents.get(i);
      String source = String.format(Locale.ROOT, "documents[%d]", i);
      read(source, document.toString(), request.isTrue("force"), findings).ifPresent(changes::add);
    }
    return findings.isEmpty()
        ? change(request, changes, changedBy)
        : OperatorResponse.findings(findings);
  }

  private OperatorResponse change(
      OperatorRequest request, List<DocumentChange> changes, String changedBy) {
    boolean dryRun = request.isTrue("dryRun");
    return OperatorResponse.of(resources.change(new ChangeSet(changes, changedBy, dryRun)), dryRun);
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

  /**
   * Returns whether the name is valid. Names are logged, where a line break could forge an entry.
   */
  private static boolean isValidName(String text) {
    return !text.isBlank()
        && text.length() <= MAXIMUM_NAME_LENGTH
        && text.chars().noneMatch(Character::isISOControl);
  }

  private interface Handler {
    OperatorResponse handle();
  }

  private static OperatorResponse requireMethod(
      OperatorRequest request, String method, Handler handler) {
    return request.method().equals(method) ? handler.handle() : methodNotAllowed(method);
  }

  private static OperatorResponse methodNotAllowed(String allowed) {
    return OperatorResponse.problem(
        OperatorResponse.METHOD_NOT_ALLOWED, OperatorProblem.INVALID, "the path takes " + allowed);
  }

  private static OperatorResponse notFound(String detail) {
    return OperatorResponse.problem(OperatorResponse.NOT_FOUND, OperatorProblem.NOT_FOUND, detail);
  }

  private static OperatorResponse badRequest(String detail) {
    return OperatorResponse.problem(OperatorResponse.BAD_REQUEST, OperatorProblem.INVALID, detail);
  }
}
