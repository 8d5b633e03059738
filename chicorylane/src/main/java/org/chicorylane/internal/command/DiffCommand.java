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

/**
 * The {@code diff} command: prints the fields in which documents in files differ from those
 * declared.
 */
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
    Options commandOptions = new Options().addOption(ApplyCommand.FILES_OPTION);
    Optional<OperatorOptions> options = OperatorOptions.read(commandOptions, 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    Optional<List<DocumentFile>> files =
        DocumentFile.readAll(options.get().line().getOptionValues("f"), err);
    if (files.isEmpty()) {
      return ExitCode.USAGE;
    }
    OperatorReply reply = options.get().client().send("GET", "/v1/resources", "");
    if (!(reply instanceof OperatorReply.Answered answered) || !answered.isOk()) {
      return OperatorPrinter.printFailure(reply, err);
    }
    JsonArray differences = findDifferences(files.get(), DeclaredDocuments.of(answered));
    print(differences, options.get().printsJson(), out);
    return differences.isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE;
  }

  private static JsonArray findDifferences(
      List<DocumentFile> files, Map<String, JsonObject> declared) {
    JsonArray differences = new JsonArray();
    for (DocumentFile file : files) {
      JsonObject declaredDocument = declared.get(file.resource().key());
      if (!hasSameSpec(file, declaredDocument)) {
        JsonArray fields = new JsonArray();
        SpecDifference.describe(
                declaredDocument == null ? null : declaredDocument.get("spec"),
                file.document().get("spec"))
            .forEach(fields::add);
        JsonObject difference = new JsonObject();
        difference.addProperty("resource", file.resource().key());
        difference.addProperty("declared", declaredDocument != null);
        difference.add("fields", fields);
        differences.add(difference);
      }
    }
    return differences;
  }

  private static boolean hasSameSpec(DocumentFile file, @Nullable JsonObject declaredDocument) {
    return declaredDocument != null
        && DeclarationReader.read("declared", declaredDocument.toString())
            instanceof ReadResult.Valid valid
        && valid.resource().spec().equals(file.resource().spec());
  }

  private static void print(JsonArray differences, boolean asJson, PrintStream out) {
    if (asJson) {
      OperatorPrinter.printJson(out, differences);
      return;
    }
    for (int i = 0; i < differences.size(); i++) {
      JsonObject difference = differences.get(i).getAsJsonObject();
      boolean declared = difference.get("declared").getAsBoolean();
      String resource = OperatorPrinter.getText(difference, "resource");
      out.println((declared ? "~ " : "+ ") + resource + (declared ? "" : " is not declared yet"));
      if (declared) {
        difference.getAsJsonArray("fields").forEach(f -> out.println("    " + f.getAsString()));
      }
    }
  }
}
