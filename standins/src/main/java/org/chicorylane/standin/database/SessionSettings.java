package org.chicorylane.standin.database;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The run-time settings of one session; names without a meaning here are kept and shown.
 *
 * <p>Thread-safe.
 */
final class SessionSettings {

  static final String APPLICATION_NAME = "application_name";
  static final String IDLE_SESSION_TIMEOUT = "idle_session_timeout";
  static final String IDLE_IN_TRANSACTION_TIMEOUT = "idle_in_transaction_session_timeout";

  private static final Pattern DURATION = Pattern.compile("(\\d+)\\s*(us|ms|s|min|h|)");
  private static final Pattern OPTION = Pattern.compile("-c\\s*([\\w.]+)=((?:\\\\.|\\S)*)");
  private static final Map<String, String> DEFAULTS =
      Map.ofEntries(
          Map.entry("server_version", "15.0"),
          Map.entry("server_version_num", "150000"),
          Map.entry("server_encoding", "UTF8"),
          Map.entry("client_encoding", "UTF8"),
          Map.entry("datestyle", "ISO, MDY"),
          Map.entry("intervalstyle", "postgres"),
          Map.entry("timezone", "UTC"),
          Map.entry("integer_datetimes", "on"),
          Map.entry("standard_conforming_strings", "on"),
          Map.entry("extra_float_digits", "1"),
          Map.entry("search_path", "\"$user\", public"),
          Map.entry("transaction_isolation", "read committed"),
          Map.entry("default_transaction_isolation", "read committed"),
          Map.entry("max_connections", "100"),
          Map.entry(APPLICATION_NAME, ""),
          Map.entry("statement_timeout", "0"),
          Map.entry(IDLE_SESSION_TIMEOUT, "0"),
          Map.entry(IDLE_IN_TRANSACTION_TIMEOUT, "0"));

  private final Map<String, String> values = new ConcurrentHashMap<>();

  /** Takes the settings of a startup message. */
  void startup(Map<String, String> parameters) {
    parameters.forEach(
        (name, value) -> {
          if (name.equals("options")) {
            Matcher m = OPTION.matcher(value);
            while (m.find()) {
              set(m.group(1), m.group(2).replaceAll("\\\\(.)", "$1"));
            }
          } else if (!name.equals("user") && !name.equals("database")) {
            set(name, value);
          }
        });
  }

  void set(String name, String value) {
    if (value.equalsIgnoreCase("DEFAULT")) {
      reset(name);
    } else {
      values.put(name.toLowerCase(Locale.ROOT), value);
    }
  }

  void reset(String name) {
    if (name.equalsIgnoreCase("all")) {
      values.clear();
    } else {
      values.remove(name.toLowerCase(Locale.ROOT));
    }
  }

  /** Returns a setting's value, or null if there is none of that name. */
  @Nullable String get(String name) {
    String key = name.toLowerCase(Locale.ROOT);
    String value = values.get(key);
    return value == null ? DEFAULTS.get(key) : value;
  }

  String applicationName() {
    String name = get(APPLICATION_NAME);
    return name == null ? "" : name;
  }

  /** Returns how long the session may wait for a message, zero for no limit. */
  Duration idleTimeout(TransactionStatus status) {
    String text = get(status.open() ? IDLE_IN_TRANSACTION_TIMEOUT : IDLE_SESSION_TIMEOUT);
    Matcher m = DURATION.matcher(text == null ? "0" : text);
    if (!m.matches()) {
      return Duration.ZERO;
    }
    long amount = Long.parseLong(m.group(1));
    return switch (m.group(2)) {
      case "us" -> Duration.of(amount, ChronoUnit.MICROS);
      case "s" -> Duration.ofSeconds(amount);
      case "min" -> Duration.ofMinutes(amount);
      case "h" -> Duration.ofHours(amount);
      default -> Duration.ofMillis(amount);
    };
  }
}
