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
 * Declares the documents of files, all or none.
 *
 * <p>A document that names a {@code resourceVersion} is applied over that version only; one that
 * names none is applied over the version that is there when the command begins.
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

  static final Option FILES = Option.builder("f").hasArgs().argName("PATH").required().get();

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
    Options own =
        new Options().addOption(FILES).addOption(Option.builder().longOpt("dry-run").get());
    Optional<OperatorOptions> options = OperatorOptions.read(own, 0, arguments, err);
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
    if (!(declared instanceof OperatorReply.Answered answered) || !answered.ok()) {
      return OperatorPrinter.failure(declared, err);
    }
    String body = body(files.get(), DeclaredDocuments.of(answered), client.changedBy());
    String path = options.get().line().hasOption("dry-run") ? "?dryRun=true" : "";
    OperatorReply reply = client.send("POST", "/v1/apply" + path, body);
    return OperatorPrinter.change(reply, options.get().json(), out, err);
  }

  private static String body(
      List<DocumentFile> files, Map<String, JsonObject> declared, String changedBy) {
    JsonArray documents = new JsonArray();
    for (DocumentFile file : files) {
      JsonObject document = file.document().deepCopy();
      JsonObject present = declared.get(file.resource().key());
      if (file.resource().metadata().resourceVersion() == null && present != null) {
        DeclaredDocuments.versionOf(present)
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
