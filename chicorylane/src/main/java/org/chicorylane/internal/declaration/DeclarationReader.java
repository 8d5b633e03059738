package org.chicorylane.internal.declaration;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.jspecify.annotations.Nullable;

/**
 * Reads resource documents and assembles them into {@link Declarations}.
 *
 * <pre>{@code
 * if (DeclarationReader.read("plans.json", text) instanceof ReadResult.Invalid invalid) {
 *   invalid.findings().forEach(f -> print(f.toLine()));
 * }
 * LenientAssembly all = DeclarationReader.assembleLenient(revision, documents);
 * }</pre>
 *
 * <p>All findings of a document are reported together, with their JSON paths. No finding quotes a
 * password. docs/DECLARATIONS.md lists the fields with their units, defaults and limits.
 *
 * <p>Stateless and thread-safe.
 */
public final class DeclarationReader {
  /** The only supported value of {@code apiVersion}. */
  public static final String API_VERSION = "chicorylane.example/v1";

  /** Metadata fields that the proxy writes; ignored in documents from operators. */
  private static final List<String> SYSTEM_METADATA =
      List.of("generation", "changedBy", "changedAt", "changeId");

  private static final int MAX_DOCUMENT_CHARACTERS = 1 << 18;
  private static final int MAX_VERSION_CHARACTERS = 64;

  private DeclarationReader() {}

  /**
   * Reads one document.
   *
   * @param source the name of the document in findings
   * @param document the JSON text
   */
  public static ReadResult read(String source, String document) {
    FindingCollector findings = new FindingCollector(source);
    Resource resource = readResource(document, findings);
    if (resource == null || !findings.isEmpty()) {
      return new ReadResult.Invalid(findings.findings());
    }
    return new ReadResult.Valid(resource);
  }

  /**
   * Reads all documents and checks that they are consistent with each other.
   *
   * @param revision the revision of the result, at least 0
   * @param documents JSON texts; findings name them {@code documents[0]}, {@code documents[1]}, …
   */
  public static AssemblyResult assemble(long revision, List<String> documents) {
    LenientAssembly result = assembleLenient(revision, documents);
    return result.findings().isEmpty()
        ? new AssemblyResult.Valid(result.declarations())
        : new AssemblyResult.Invalid(result.findings());
  }

  /**
   * Reads all documents and leaves out those that are invalid or inconsistent with the others, so
   * that one bad document does not affect the valid ones.
   *
   * <p>Reserved slots that exceed the slots of a server are reported, but no document is left out
   * for them.
   *
   * @param revision the revision of the result, at least 0
   * @param documents JSON texts; findings name them {@code documents[0]}, {@code documents[1]}, …
   */
  public static LenientAssembly assembleLenient(long revision, List<String> documents) {
    List<Resource> resources = new ArrayList<>();
    List<Finding> findings = new ArrayList<>();
    for (int i = 0; i < documents.size(); i++) {
      ReadResult result = read("documents[" + i + "]", documents.get(i));
      if (result instanceof ReadResult.Valid valid) {
        resources.add(valid.resource());
      } else if (result instanceof ReadResult.Invalid invalid) {
        findings.addAll(invalid.findings());
      }
    }
    return DeclarationAssembler.assemble(revision, resources, findings);
  }

  /**
   * Checks that resources are consistent with each other.
   *
   * @return all inconsistencies; empty if there are none
   */
  public static List<Finding> checkConsistency(List<Resource> resources) {
    return DeclarationAssembler.assemble(0, resources, List.of()).findings();
  }

  private static @Nullable Resource readResource(String document, FindingCollector findings) {
    if (document.length() > MAX_DOCUMENT_CHARACTERS) {
      findings.add(
          "$", document.length() + " characters instead of at most " + MAX_DOCUMENT_CHARACTERS);
      return null;
    }
    JsonElement root = JsonTreeReader.read(document, findings);
    if (root == null) {
      return null;
    }
    if (!(root instanceof JsonObject object)) {
      findings.add("$", "the document is not an object");
      return null;
    }
    ObjectFields fields = new ObjectFields(object, "$", findings);
    fields.stringMatching("apiVersion", API_VERSION::equals, "\"" + API_VERSION + "\"");
    ResourceKind kind = readKind(fields);
    final Metadata metadata = readMetadata(fields);
    ObjectFields spec = fields.object("spec");
    fields.ignore("status");
    fields.reportUnknownKeys();
    if (kind == null || spec == null) {
      return null;
    }
    Spec parsedSpec = kind.readSpec(metadata.name(), spec);
    spec.reportUnknownKeys();
    return new Resource(kind, metadata, parsedSpec);
  }

  private static @Nullable ResourceKind readKind(ObjectFields fields) {
    List<String> names = Arrays.stream(ResourceKind.values()).map(ResourceKind::kindName).toList();
    String name = fields.stringMatching("kind", names::contains, "one of " + names);
    return ResourceKind.ofName(name).orElse(null);
  }

  private static Metadata readMetadata(ObjectFields fields) {
    ObjectFields metadata = fields.object("metadata");
    if (metadata == null) {
      return new Metadata("", null);
    }
    Metadata result =
        new Metadata(
            metadata.dnsLabel("name"),
            metadata.optionalText("resourceVersion", MAX_VERSION_CHARACTERS));
    SYSTEM_METADATA.forEach(metadata::ignore);
    metadata.reportUnknownKeys();
    return result;
  }
}
