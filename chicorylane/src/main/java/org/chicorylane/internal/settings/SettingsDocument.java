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
 * Reads the sections of a settings document. What is wrong is reported to the root's findings; the
 * section then has a stand-in value, which is of no use.
 *
 * <p>Not thread-safe.
 */
public final class SettingsDocument {
  private static final Pattern ADDRESS =
      Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):([0-9]{1,5})");
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_WAITING = 1_000_000;
  private static final int MINIMUM_TOKEN_LENGTH = 16;
  private static final Duration MAXIMUM_IDLE = Duration.ofHours(1);
  private static final Duration MAXIMUM_RETENTION = Duration.ofDays(30);
  private static final InetSocketAddress ANY_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final ObjectReader root;

  /** Reads from the document's root. */
  public SettingsDocument(ObjectReader root) {
    this.root = root;
  }

  /** Returns a required text. */
  public String text(String name) {
    return root.require(name).string(name).orElse("");
  }

  /** Returns where the instance listens. */
  public Addresses addresses() {
    Optional<ObjectReader> section = root.require("addresses").object("addresses");
    if (section.isEmpty()) {
      return new Addresses(ANY_ADDRESS, ANY_ADDRESS, ANY_ADDRESS, ANY_ADDRESS);
    }
    ObjectReader r = section.get();
    Addresses addresses =
        new Addresses(
            address(r, "caller"),
            address(r, "relay"),
            address(r, "membership"),
            address(r, "operator"));
    r.reportUnknownMembers();
    return addresses;
  }

  /** Returns where the platform answers. */
  public PlatformEndpoints platform() {
    Optional<ObjectReader> section = root.require("platform").object("platform");
    if (section.isEmpty()) {
      return new PlatformEndpoints(List.of(), List.of());
    }
    ObjectReader r = section.get();
    PlatformEndpoints endpoints =
        new PlatformEndpoints(uris(r, "keyValueEndpoints"), uris(r, "instanceListEndpoints"));
    r.reportUnknownMembers();
    return endpoints;
  }

  /** Returns the keys of session tokens, the signing one first. */
  public List<SessionKey> sessionKeys() {
    List<SessionKey> keys = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    List<ObjectReader> elements =
        root.require("sessionKeys").objects("sessionKeys").orElse(List.of());
    if (root.has("sessionKeys") && elements.isEmpty()) {
      root.report("sessionKeys", "expected at least one key");
    }
    for (ObjectReader r : elements) {
      Optional<String> id = r.require("id").string("id");
      Optional<byte[]> secret =
          r.require("secret").secret("secret").flatMap(text -> decode(r, text));
      r.reportUnknownMembers();
      if (id.isPresent() && !ids.add(id.get())) {
        r.report("id", "the id \"" + id.get() + "\" stands twice");
      } else if (id.isPresent() && secret.isPresent()) {
        keys.add(new SessionKey(id.get(), secret.get()));
      }
    }
    return keys;
  }

  /** Returns the operators' bearer token, if there is one. */
  public Optional<String> operatorToken() {
    Optional<String> token = root.secret("operatorToken");
    if (token.isPresent() && token.get().length() < MINIMUM_TOKEN_LENGTH) {
      root.report("operatorToken", "expected at least " + MINIMUM_TOKEN_LENGTH + " characters");
    }
    return token;
  }

  /** Returns the limits of the HTTP edge. */
  public CallerLimits callerLimits() {
    return root.object("callers").map(CallerLimitsReader::read).orElse(CallerLimits.defaults());
  }

  /** Returns the longest session token, in characters, or the default. */
  public int sessionTokenLength(int fallback) {
    return root.integer("sessionTokenLength", 256, 65_536).map(Math::toIntExact).orElse(fallback);
  }

  /** Returns the limits of the instance as a home. */
  public HomeLimits homeLimits() {
    HomeLimits d = HomeLimits.defaults();
    Optional<ObjectReader> section = root.object("home");
    if (section.isEmpty()) {
      return d;
    }
    ObjectReader r = section.get();
    HomeLimits limits =
        new HomeLimits(
            r.integer("waitingRequests", 1, MAXIMUM_WAITING)
                .map(Math::toIntExact)
                .orElse(d.waitingRequests()),
            r.integer("transactionIdleMillis", 1, MAXIMUM_IDLE.toMillis())
                .map(Duration::ofMillis)
                .orElse(d.transactionIdleLimit()),
            r.integer("ledgerRetentionMinutes", 1, MAXIMUM_RETENTION.toMinutes())
                .map(Duration::ofMinutes)
                .orElse(d.ledgerRetention()));
    r.reportUnknownMembers();
    return limits;
  }

  /** Returns how the instance logs. */
  public LogSettings log() {
    LogSettings d = LogSettings.defaults();
    Optional<ObjectReader> section = root.object("log");
    if (section.isEmpty()) {
      return d;
    }
    ObjectReader r = section.get();
    LogSettings log =
        new LogSettings(
            choice(r, "format", LogFormat.values(), d.format()),
            choice(r, "level", LogLevel.values(), d.level()));
    r.reportUnknownMembers();
    return log;
  }

  /** Returns where the certificate for callers is, if they come by TLS. */
  public Optional<TlsFiles> tls() {
    Optional<ObjectReader> section = root.object("tls");
    if (section.isEmpty()) {
      return Optional.empty();
    }
    ObjectReader r = section.get();
    Optional<Path> certificate = path(r, "certificateFile");
    Optional<Path> key = path(r, "keyFile");
    r.reportUnknownMembers();
    return certificate.flatMap(c -> key.map(k -> new TlsFiles(c, k)));
  }

  /** Reports every member of the root that no section read. */
  public void reportUnknownMembers() {
    root.reportUnknownMembers();
  }

  private static InetSocketAddress address(ObjectReader r, String name) {
    Optional<String> text = r.require(name).string(name);
    return text.isEmpty() ? ANY_ADDRESS : parseAddress(r, name, text.get());
  }

  private static InetSocketAddress parseAddress(ObjectReader r, String name, String text) {
    Matcher m = ADDRESS.matcher(text);
    if (m.matches() && Integer.parseInt(m.group(2)) <= MAXIMUM_PORT) {
      try {
        // A literal IP number is never looked up.
        InetAddress host = InetAddress.getAllByName(m.group(1))[0];
        return new InetSocketAddress(host, Integer.parseInt(m.group(2)));
      } catch (UnknownHostException e) {
        // Reported below: a number above 255, or a malformed IPv6 address.
      }
    }
    r.report(name, "expected an IP number and a port such as 10.0.0.7:7400, not \"" + text + "\"");
    return ANY_ADDRESS;
  }

  private static List<URI> uris(ObjectReader r, String name) {
    List<URI> uris = new ArrayList<>();
    JsonArray array = r.require(name).array(name).orElseGet(JsonArray::new);
    if (r.has(name) && array.isEmpty()) {
      r.report(name, "expected at least one URL");
    }
    for (JsonElement e : array) {
      Optional<URI> uri = uri(e);
      if (uri.isEmpty()) {
        r.report(name, "expected an http URL, not " + ObjectReader.quote(e));
      }
      uri.ifPresent(uris::add);
    }
    return uris;
  }

  private static Optional<URI> uri(JsonElement e) {
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

  private static Optional<byte[]> decode(ObjectReader r, String base64) {
    try {
      byte[] secret = Base64.getDecoder().decode(base64);
      if (secret.length >= SessionKey.MINIMUM_SECRET_BYTES) {
        return Optional.of(secret);
      }
      r.report(
          "secret",
          "the secret has "
              + secret.length
              + " bytes, fewer than "
              + SessionKey.MINIMUM_SECRET_BYTES);
    } catch (IllegalArgumentException e) {
      r.report("secret", "expected base64 (the value is not shown)");
    }
    return Optional.empty();
  }

  private static Optional<Path> path(ObjectReader r, String name) {
    Optional<String> text = r.require(name).string(name);
    try {
      return text.map(Path::of);
    } catch (InvalidPathException e) {
      r.report(name, "expected a file's path, not \"" + text.orElse("") + "\"");
      return Optional.empty();
    }
  }

  private static <E extends Enum<E>> E choice(ObjectReader r, String name, E[] values, E fallback) {
    Optional<String> text = r.string(name);
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
    r.report(name, "expected one of " + names + ", not \"" + text.get() + "\"");
    return fallback;
  }
}
