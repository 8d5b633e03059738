package org.chicorylane.internal.command;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * The {@code apply} command: declares the documents in files, all or none.
 *
 * <p>A document that contains a {@code resourceVersion} replaces only that version (optimistic
 * locking). A document without one replaces the version that is declared when the command starts.
 */
public final class ApplyCommand implements Command {

  private static final String HELP =
      """
        -f PATH...       files or directories with documents
        --dry-run        checks and changes nothing
        --operator URL   any instance, http://127.0.0.1:7403 by default
        --token TOKEN    the operators' token, environment CHICORYLANE_TOKEN by default
        --output FORMAT  table (default) or json
        --by NAME        who makes the change, the user's name at the system by default
      example: chicorylane apply -f config/example/declarations --dry-run
      """;

  static final Option FILES_OPTION = Option.builder("f").hasArgs().argName("PATH").required().get();

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "declare documents, all or none: -f PATH... [--dry-run]";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options commandOptions =
        new Options().addOption(FILES_OPTION).addOption(Option.builder().longOpt("dry-run").get());
    Optional<OperatorOptions> options = OperatorOptions.read(commandOptions, 0, arguments, err);
    if (options.isEmpty()) {
      return ExitCode.USAGE;
    }
    OperatorClient client = options.get().client();
    Optional<List<DocumentFile>> files =
        DocumentFile.readAll(options.get().line().getOptionValues("f"), err);
    if (files.isEmpty()) {
      return ExitCode.USAGE;
    }
    OperatorReply declared = client.send("GET", "/v1/resources", "");
    if (!(declared instanceof OperatorReply.Answered answered) || !answered.isOk()) {
      return OperatorPrinter.printFailure(declared, err);
    }
    String body = buildBody(files.get(), DeclaredDocuments.of(answered), client.changedBy());
    String path = options.get().line().hasOption("dry-run") ? "?dryRun=true" : "";
    OperatorReply reply = client.send("POST", "/v1/apply" + path, body);
    return OperatorPrinter.printChange(reply, options.get().printsJson(), out, err);
  }

  private static String buildBody(
      List<DocumentFile> files, Map<String, JsonObject> declared, String changedBy) {
    JsonArray documents = new JsonArray();
    for (DocumentFile file : files) {
      JsonObject document = file.document().deepCopy();
      JsonObject declaredDocument = declared.get(file.resource().key());
      if (file.resource().metadata().resourceVersion() == null && declaredDocument != null) {
        DeclaredDocuments.getVersion(declaredDocument)
            .ifPresent(v -> document.getAsJsonObject("metadata").addProperty("resourceVersion", v));
      }
      documents.add(document);
    }
    JsonObject body = new JsonObject();
    body.add("documents", documents);
    body.addProperty("changedBy", changedBy);
    return body.toString();
  }
}
