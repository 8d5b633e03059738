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

/** Prints what instances answer to operators. Stateless. */
final class OperatorPrinter {
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().serializeNulls().create();

  private OperatorPrinter() {}

  /** Prints JSON for programs. */
  static void json(PrintStream out, JsonElement json) {
    out.println(PRETTY.toJson(json));
  }

  /** Prints why a request was not done, and returns the exit code for it. */
  static ExitCode failure(OperatorReply reply, PrintStream err) {
    if (!(reply instanceof OperatorReply.Answered answered)) {
      err.println("chicorylane: " + ((OperatorReply.Unreachable) reply).reason());
      return ExitCode.UNAVAILABLE;
    }
    JsonObject body = answered.body();
    err.println("chicorylane: " + text(body, "detail"));
    for (JsonObject finding : objects(body, "findings")) {
      err.printf(
          "  %s: %s at %s%n",
          text(finding, "source"), text(finding, "message"), text(finding, "path"));
    }
    for (JsonObject c : objects(body, "conflicts")) {
      err.printf(
          "  %s: expected version %s, found %s, changed by %s at %s%n",
          text(c, "resource"),
          text(c, "expectedVersion"),
          text(c, "currentVersion"),
          text(c, "changedBy"),
          text(c, "changedAt"));
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

  /** Prints what a change did, or why not, and returns the exit code. */
  static ExitCode change(OperatorReply reply, boolean json, PrintStream out, PrintStream err) {
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.ok()) {
      if (reply instanceof OperatorReply.Unreachable) {
        err.println("chicorylane: whether the change took effect is not known; see diff or get");
      }
      return failure(reply, err);
    }
    if (json) {
      json(out, answered.body());
      return ExitCode.OK;
    }
    for (JsonObject resource : objects(answered.body(), "resources")) {
      out.printf("%-9s %s%n", text(resource, "action"), text(resource, "resource"));
    }
    out.println("revision " + text(answered.body(), "revision"));
    return ExitCode.OK;
  }

  /** Returns a member as text; {@code none} if absent. */
  static String text(JsonObject json, String name) {
    return json.get(name) instanceof JsonPrimitive p ? p.getAsString() : "none";
  }

  /** Returns the objects of an array; none if it is absent. */
  static List<JsonObject> objects(JsonObject json, String name) {
    List<JsonObject> objects = new ArrayList<>();
    if (json.get(name) instanceof JsonArray array) {
      array.forEach(e -> objects.add(e.getAsJsonObject()));
    }
    return objects;
  }

  /** Returns a nested object; an empty one if it is absent. */
  static JsonObject object(JsonObject json, String name) {
    return json.get(name) instanceof JsonObject nested ? nested : new JsonObject();
  }
}
