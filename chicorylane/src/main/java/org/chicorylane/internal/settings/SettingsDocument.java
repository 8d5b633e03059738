package org.chicorylane.internal.settings;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.json.ObjectReader;
import org.chicorylane.internal.session.SessionKey;

/**
 * Reads the sections of a settings document. Faults are added to the findings of the root; the
 * section that is returned then contains placeholder values and must not be used.
 *
 * <p>Not thread-safe.
 */
public final class SettingsDocument {
  private static final Pattern ADDRESS =
      Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):([0-9]{1,5})");
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_WAITING_REQUESTS = 1_000_000;
  private static final int MINIMUM_TOKEN_CHARACTERS = 16;
  private static final Duration MAXIMUM_TRANSACTION_IDLE = Duration.ofHours(1);
  private static final Duration MAXIMUM_LEDGER_RETENTION = Duration.ofDays(30);
  private static final InetSocketAddress PLACEHOLDER_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final ObjectReader root;

  /** Creates a reader for the root object of a document. */
  public SettingsDocument(ObjectReader root) {
    this.root = root;
  }

  /** Returns a required string; empty after a finding. */
  public String text(String name) {
    return root.require(name).string(name).orElse("");
  }

  /** Returns the addresses that the instance listens on. */
  public Addresses addresses() {
    Optional<ObjectReader> section = root.require("addresses").object("addresses");
    if (section.isEmpty()) {
      return new Addresses(
          PLACEHOLDER_ADDRESS, PLACEHOLDER_ADDRESS, PLACEHOLDER_ADDRESS, PLACEHOLDER_ADDRESS);
    }
    ObjectReader reader = section.get();
    Addresses addresses =
        new Addresses(
            address(reader, "caller"),
            address(reader, "relay"),
            address(reader, "membership"),
            address(reader, "operator"));
    reader.reportUnknownMembers();
    return addresses;
  }

  /** Returns the endpoints of the platform. */
  public PlatformEndpoints platform() {
    Optional<ObjectReader> section = root.require("platform").object("platform");
    if (section.isEmpty()) {
      return new PlatformEndpoints(List.of(), List.of());
    }
    ObjectReader reader = section.get();
    PlatformEndpoints endpoints =
        new PlatformEndpoints(
            uris(reader, "keyValueEndpoints"), uris(reader, "instanceListEndpoints"));
    reader.reportUnknownMembers();
    return endpoints;
  }

  /** Returns the keys of session tokens; the first one signs new tokens. */
  public List<SessionKey> sessionKeys() {
    List<SessionKey> keys = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    List<ObjectReader> elements =
        root.require("sessionKeys").objects("sessionKeys").orElse(List.of());
    if (root.has("sessionKeys") && elements.isEmpty()) {
      root.report("sessionKeys", "expected at least one key");
    }
    for (ObjectReader reader : elements) {
      Optional<String> id = reader.require("id").string("id");
      Optional<byte[]> secret =
          reader.require("secret").secret("secret").flatMap(text -> decode(reader, text));
      reader.reportUnknownMembers();
      if (id.isPresent() && !ids.add(id.get())) {
        reader.report("id", "the id \"" + id.get() + "\" stands twice");
      } else if (id.isPresent() && secret.isPresent()) {
        keys.add(new SessionKey(id.get(), secret.get()));
      }
    }
    return keys;
  }

  /** Returns the bearer token for operators; empty if absent. */
  public Optional<String> operatorToken() {
    Optional<String> token = root.secret("operatorToken");
    if (token.isPresent() && token.get().length() < MINIMUM_TOKEN_CHARACTERS) {
      root.report("operatorToken", "expected at least " + MINIMUM_TOKEN_CHARACTERS + " characters");
    }
    return token;
  }

  /** Returns the limits of the HTTP edge. */
  public CallerLimits callerLimits() {
    return root.object("callers").map(CallerLimitsReader::read).orElse(CallerLimits.defaults());
  }

  /** Returns the maximum length of a session token, in characters; {@code fallback} if absent. */
  public int sessionTokenLength(int fallback) {
    return root.integer("sessionTokenLength", 256, 65_536).map(Math::toIntExact).orElse(fallback);
  }

  /** Returns the limits of the instance as a home. */
  public HomeLimits homeLimits() {
    HomeLimits defaults = HomeLimits.defaults();
    Optional<ObjectReader> section = root.object("home");
    if (section.isEmpty()) {
      return defaults;
    }
    ObjectReader reader = section.get();
    HomeLimits limits =
        new HomeLimits(
            reader
                .integer("waitingRequests", 1, MAXIMUM_WAITING_REQUESTS)
                .map(Math::toIntExact)
                .orElse(defaults.waitingRequests()),
            reader
                .integer("transactionIdleMillis", 1, MAXIMUM_TRANSACTION_IDLE.toMillis())
                .map(Duration::ofMillis)
                .orElse(defaults.transactionIdleLimit()),
            reader
                .integer("ledgerRetentionMinutes", 1, MAXIMUM_LEDGER_RETENTION.toMinutes())
                .map(Duration::ofMinutes)
                .orElse(defaults.ledgerRetention()));
    reader.reportUnknownMembers();
    return limits;
  }

  /** Returns the log format and level. */
  public LogSettings log() {
    LogSettings defaults = LogSettings.defaults();
    Optional<ObjectReader> section = root.object("log");
    if (section.isEmpty()) {
      return defaults;
    }
    ObjectReader reader = section.get();
    LogSettings log =
        new LogSettings(
            enumValue(reader, "format", LogFormat.values(), defaults.format()),
            enumValue(reader, "level", LogLevel.values(), defaults.level()));
    reader.reportUnknownMembers();
    return log;
  }

  /** Returns the TLS files for callers; empty if callers connect without TLS. */
  public Optional<TlsFiles> tls() {
    Optional<ObjectReader> section = root.object("tls");
    if (section.isEmpty()) {
      return Optional.empty();
    }
    ObjectReader reader = section.get();
    Optional<Path> certificate = path(reader, "certificateFile");
    Optional<Path> key = path(reader, "keyFile");
    reader.reportUnknownMembers();
    return certificate.flatMap(c -> key.map(k -> new TlsFiles(c, k)));
  }

  /** Adds a finding for each member of the root that was not read. */
  public void reportUnknownMembers() {
    root.reportUnknownMembers();
  }

  private static InetSocketAddress address(ObjectReader reader, String name) {
    Optional<String> text = reader.require(name).string(name);
    return text.isEmpty() ? PLACEHOLDER_ADDRESS : parseAddress(reader, name, text.get());
  }

  private static InetSocketAddress parseAddress(ObjectReader reader, String name, String text) {
    Matcher m = ADDRESS.matcher(text);
    if (m.matches() && Integer.parseInt(m.group(2)) <= MAXIMUM_PORT) {
      try {
        // A literal IP address causes no name lookup.
        InetAddress host = InetAddress.getAllByName(m.group(1))[0];
        return new InetSocketAddress(host, Integer.parseInt(m.group(2)));
      } catch (UnknownHostException e) {
        // A part above 255 or a malformed IPv6 address; reported below.
      }
    }
    reader.report(
        name, "expected an IP number and a port such as 10.0.0.7:7400, not \"" + text + "\"");
    return PLACEHOLDER_ADDRESS;
  }

  private static List<URI> uris(ObjectReader reader, String name) {
    List<URI> uris = new ArrayList<>();
    JsonArray array = reader.require(name).array(name).orElseGet(JsonArray::new);
    if (reader.has(name) && array.isEmpty()) {
      reader.report(name, "expected at least one URL");
    }
    for (JsonElement e : array) {
      Optional<URI> uri = parseUri(e);
      if (uri.isEmpty()) {
        reader.report(name, "expected an http URL, not " + ObjectReader.quote(e));
      }
      uri.ifPresent(uris::add);
    }
    return uris;
  }

  private static Optional<URI> parseUri(JsonElement e) {
    if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
      return Optional.empty();
    }
    try {
      URI uri = new URI(e.getAsString());
      return Optional.of(uri).filter(u -> "http".equals(u.getScheme()) && u.getHost() != null);
    } catch (URISyntaxException invalid) {
      return Optional.empty();
    }
  }

  private static Optional<byte[]> decode(ObjectReader reader, String base64) {
    try {
      byte[] secret = Base64.getDecoder().decode(base64);
      if (secret.length >= SessionKey.MINIMUM_SECRET_BYTES) {
        return Optional.of(secret);
      }
      reader.report(
          "secret",
          "the secret has "
              + secret.length
              + " bytes, fewer than "
              + SessionKey.MINIMUM_SECRET_BYTES);
    } catch (IllegalArgumentException e) {
      reader.report("secret", "expected base64 (the value is not shown)");
    }
    return Optional.empty();
  }

  private static Optional<Path> path(ObjectReader reader, String name) {
    Optional<String> text = reader.require(name).string(name);
    try {
      return text.map(Path::of);
    } catch (InvalidPathException e) {
      reader.report(name, "expected a file's path, not \"" + text.orElse("") + "\"");
      return Optional.empty();
    }
  }

  private static <E extends Enum<E>> E enumValue(
      ObjectReader reader, String name, E[] values, E fallback) {
    Optional<String> text = reader.string(name);
    if (text.isEmpty()) {
      return fallback;
    }
    List<String> names = new ArrayList<>();
    for (E value : values) {
      String choice = value.name().toLowerCase(Locale.ROOT);
      if (choice.equals(text.get())) {
        return value;
      }
      names.add(choice);
    }
    reader.report(name, "expected one of " + names + ", not \"" + text.get() + "\"");
    return fallback;
  }
}
