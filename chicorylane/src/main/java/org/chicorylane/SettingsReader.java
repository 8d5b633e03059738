package org.chicorylane;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.json.JsonDocument;
import org.chicorylane.internal.json.ObjectReader;
import org.chicorylane.internal.settings.SettingsDocument;

/**
 * Reads and validates the settings of an instance from JSON, reporting all findings together.
 *
 * <pre>{@code
 * SettingsResult result = SettingsReader.readFile(Path.of("instance-1.json"));
 * if (result instanceof SettingsResult.Invalid invalid) {
 *   invalid.findings().forEach(f -> System.err.println(f.toLine()));
 * }
 * }</pre>
 *
 * <p>Findings quote invalid values, but never secrets. Stateless and thread-safe.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /** Reads a file; an unreadable file is reported as a finding. */
  public static SettingsResult readFile(Path file) {
    try {
      return read(file.toString(), ByteBuffer.wrap(Files.readAllBytes(file)));
    } catch (IOException e) {
      return new SettingsResult.Invalid(
          List.of(new Finding(file.toString(), "$", "the file cannot be read: " + e)));
    }
  }

  /**
   * Reads a document.
   *
   * @param source the name of the document in findings
   * @param utf8 the document in UTF-8
   */
  public static SettingsResult read(String source, ByteBuffer utf8) {
    List<Finding> findings = new ArrayList<>();
    ObjectReader root = JsonDocument.parseObject(source, utf8, findings);
    if (root == null) {
      return new SettingsResult.Invalid(findings);
    }
    SettingsDocument document = new SettingsDocument(root);
    Settings.Builder builder =
        Settings.builder(document.text("instance"), document.text("availabilityZone"))
            .addresses(document.addresses())
            .platform(document.platform())
            .sessionKeys(document.sessionKeys())
            .sessionTokenLength(document.sessionTokenLength(Settings.DEFAULT_SESSION_TOKEN_LENGTH))
            .operatorToken(document.operatorToken().orElse(null))
            .callerLimits(document.callerLimits())
            .homeLimits(document.homeLimits())
            .log(document.log())
            .tls(document.tls().orElse(null));
    document.reportUnknownMembers();
    return findings.isEmpty()
        ? new SettingsResult.Valid(builder.build())
        : new SettingsResult.Invalid(findings);
  }
}
