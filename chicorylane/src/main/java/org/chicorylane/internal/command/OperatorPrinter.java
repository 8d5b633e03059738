package org.chicorylane.internal.command;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints the answers of instances to an operator's requests. Stateless. */
final class OperatorPrinter {
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().serializeNulls().create();

  private OperatorPrinter() {}

  /** Prints indented JSON, for programs to read. */
  static void printJson(PrintStream out, JsonElement json) {
    out.println(PRETTY.toJson(json));
  }

  /** Prints why a request failed, and returns the exit code for it. */
  static ExitCode printFailure(OperatorReply reply, PrintStream err) {
    if (!(reply instanceof OperatorReply.Answered answered)) {
      err.println("chicorylane: " + ((OperatorReply.Unreachable) reply).reason());
      return ExitCode.UNAVAILABLE;
    }
    JsonObject body = answered.body();
    err.println("chicorylane: " + getText(body, "detail"));
    for (JsonObject finding : getObjects(body, "findings")) {
      err.printf(
          "  %s: %s at %s%n",
          getText(finding, "source"), getText(finding, "message"), getText(finding, "path"));
    }
    for (JsonObject conflict : getObjects(body, "conflicts")) {
      err.printf(
          "  %s: expected version %s, found %s, changed by %s at %s%n",
          getText(conflict, "resource"),
          getText(conflict, "expectedVersion"),
          getText(conflict, "currentVersion"),
          getText(conflict, "changedBy"),
          getText(conflict, "changedAt"));
    }
    return switch (answered.status()) {
      case OperatorReply.HTTP_CONFLICT -> ExitCode.CONFLICT;
      case OperatorReply.HTTP_NOT_FOUND -> ExitCode.NEGATIVE;
      default ->
          answered.status() >= OperatorReply.HTTP_SERVER_FAULT
              ? ExitCode.UNAVAILABLE
              : ExitCode.USAGE;
    };
  }

  /** Prints the result of a change, or why it failed, and returns the exit code. */
  static ExitCode printChange(
      OperatorReply reply, boolean asJson, PrintStream out, PrintStream err) {
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.isOk()) {
      if (reply instanceof OperatorReply.Unreachable) {
        err.println("chicorylane: whether the change took effect is not known; see diff or get");
      }
      return printFailure(reply, err);
    }
    if (asJson) {
      printJson(out, answered.body());
      return ExitCode.OK;
    }
    for (JsonObject resource : getObjects(answered.body(), "resources")) {
      out.printf("%-9s %s%n", getText(resource, "action"), getText(resource, "resource"));
    }
    out.println("revision " + getText(answered.body(), "revision"));
    return ExitCode.OK;
  }

  /** Returns a member as text; {@code none} if it is absent or not a primitive. */
  static String getText(JsonObject json, String name) {
    return json.get(name) instanceof JsonPrimitive p ? p.getAsString() : "none";
  }

  /** Returns the objects in a member array; an empty list if it is absent. */
  static List<JsonObject> getObjects(JsonObject json, String name) {
    List<JsonObject> objects = new ArrayList<>();
    if (json.get(name) instanceof JsonArray array) {
      array.forEach(e -> objects.add(e.getAsJsonObject()));
    }
    return objects;
  }

  /** Returns a member object; an empty one if it is absent. */
  static JsonObject getObject(JsonObject json, String name) {
    return json.get(name) instanceof JsonObject nested ? nested : new JsonObject();
  }
}
