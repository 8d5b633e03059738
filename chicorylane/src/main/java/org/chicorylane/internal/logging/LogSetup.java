package org.chicorylane.internal.logging;

import java.util.Locale;
import org.chicorylane.internal.settings.LogFormat;
import org.chicorylane.internal.settings.LogSettings;
import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog from the settings of an instance.
 *
 * <pre>{@code
 * LogSetup.apply(settings.log()); // before the first log entry
 * }</pre>
 *
 * <p>Entries are written to the standard error stream. Entries of libraries are logged only at
 * level {@code WARN} and above, whatever level is configured. Callers must never log a secret, a
 * session token, a bound parameter or the text of a statement.
 */
public final class LogSetup {
  private static final String TEXT_PATTERN =
      "{date: yyyy-MM-dd HH:mm:ss.SSS} {level|min-size=5} {class-name} "
          + "{context: "
          + LogFields.REQUEST_ID
          + "} {message}";
  private static final String[] LIBRARIES = {"io.netty", "io.vertx"};

  private LogSetup() {}

  /**
   * Configures tinylog. This is possible only once in a process, before the first log entry.
   *
   * @throws UnsupportedOperationException if an entry was already logged
   */
  public static void apply(LogSettings settings) {
    Configuration.set("level", settings.level().name().toLowerCase(Locale.ROOT));
    for (String library : LIBRARIES) {
      Configuration.set("level@" + library, "warn");
    }
    if (settings.format() == LogFormat.JSON) {
      Configuration.set("writer", JsonLinesWriter.class.getName());
    } else {
      Configuration.set("writer", "console");
      Configuration.set("writer.stream", "err");
      Configuration.set("writer.format", TEXT_PATTERN);
    }
  }
}
