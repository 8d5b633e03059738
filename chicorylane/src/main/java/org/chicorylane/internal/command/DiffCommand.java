package org.chicorylane.internal.command;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.ReadResult;
import org.jspecify.annotations.Nullable;

/** Says in which fields the documents of files differ from what is declared. */
public final class DiffCommand implements Command {
  private static final String HELP =
      """
        -f PATH...       files or directories with documents
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane diff -f config/example/declarations
      """;

  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String summary() {
    return "say what apply would change: -f PATH... (exit 1 if anything)";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options own = new Options().addOption(ApplyCommand.FILES);
    Optional<OperatorOptions> options = OperatorOptions.read(own, 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    Optional<List<DocumentFile>> files =
        DocumentFile.readAll(options.get().line().getOptionValues("f"), err);
    if (files.isEmpty()) {
      return ExitCode.USAGE;
    }
    OperatorReply reply = options.get().client().send("GET", "/v1/resources", "");
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.ok()) {
      return OperatorPrinter.failure(reply, err);
    }
    JsonArray differences = differences(files.get(), DeclaredDocuments.of(answered));
    print(differences, options.get().json(), out);
    return differences.isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE;
  }

  private static JsonArray differences(List<DocumentFile> files, Map<String, JsonObject> declared) {
    JsonArray differences = new JsonArray();
    for (DocumentFile file : files) {
      JsonObject present = declared.get(file.resource().key());
      if (!same(file, present)) {
        JsonArray fields = new JsonArray();
        SpecDifference.lines(
                present == null ? null : present.get("spec"), file.document().get("spec"))
            .forEach(fields::add);
        JsonObject difference = new JsonObject();
        difference.addProperty("resource", file.resource().key());
        difference.addProperty("declared", present != null);
        difference.add("fields", fields);
        differences.add(difference);
      }
    }
    return differences;
  }

  private static boolean same(DocumentFile file, @Nullable JsonObject present) {
    return present != null
        && DeclarationReader.read("declared", present.toString()) instanceof ReadResult.Valid valid
        && valid.resource().spec().equals(file.resource().spec());
  }

  private static void print(JsonArray differences, boolean json, PrintStream out) {
    if (json) {
      OperatorPrinter.json(out, differences);
      return;
    }
    for (int i = 0; i < differences.size(); i++) {
      JsonObject d = differences.get(i).getAsJsonObject();
      boolean declared = d.get("declared").getAsBoolean();
      String resource = OperatorPrinter.text(d, "resource");
      out.println((declared ? "~ " : "+ ") + resource + (declared ? "" : " is not declared yet"));
      if (declared) {
        d.getAsJsonArray("fields").forEach(f -> out.println("    " + f.getAsString()));
      }
    }
  }
}
