package org.chicorylane;

import java.util.List;
import java.util.Optional;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.session.SessionKey;
import org.chicorylane.internal.settings.Addresses;
import org.chicorylane.internal.settings.HomeLimits;
import org.chicorylane.internal.settings.LogSettings;
import org.chicorylane.internal.settings.PlatformEndpoints;
import org.chicorylane.internal.settings.TlsFiles;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one instance.
 *
 * <pre>{@code
 * Settings settings =
 *     Settings.builder("instance-1", "hall-liben")
 *         .addresses(addresses)
 *         .platform(endpoints)
 *         .sessionKeys(List.of(key))
 *         .build();
 * }</pre>
 *
 * <p>Immutable and thread-safe. {@link #toString} contains no secrets. {@link SettingsReader} reads
 * and validates settings from a JSON document.
 */
public final class Settings {
  /** The default maximum length of a session token, in characters. */
  public static final int DEFAULT_SESSION_TOKEN_LENGTH = 8_192;

  private final String instanceId;
  private final String availabilityZone;
  private final Addresses addresses;
  private final PlatformEndpoints platform;
  private final List<SessionKey> sessionKeys;
  private final int sessionTokenLength;
  private final @Nullable String operatorToken;
  private final CallerLimits callerLimits;
  private final HomeLimits homeLimits;
  private final LogSettings log;
  private final @Nullable TlsFiles tls;

  private Settings(Builder builder, Addresses addresses, PlatformEndpoints platform) {
    this.instanceId = builder.instanceId;
    this.availabilityZone = builder.availabilityZone;
    this.addresses = addresses;
    this.platform = platform;
    this.sessionKeys = builder.sessionKeys;
    this.sessionTokenLength = builder.sessionTokenLength;
    this.operatorToken = builder.operatorToken;
    this.callerLimits = builder.callerLimits;
    this.homeLimits = builder.homeLimits;
    this.log = builder.log;
    this.tls = builder.tls;
  }

  /** Returns a builder for an instance with that id in that availability zone. */
  public static Builder builder(String instanceId, String availabilityZone) {
    return new Builder(instanceId, availabilityZone);
  }

  /** Returns the id of the instance, unique among instances. */
  public String instanceId() {
    return instanceId;
  }

  /** Returns the availability zone that the instance runs in. */
  public String availabilityZone() {
    return availabilityZone;
  }

  /** Returns the addresses that the instance listens on. */
  public Addresses addresses() {
    return addresses;
  }

  /** Returns the endpoints of the platform. */
  public PlatformEndpoints platform() {
    return platform;
  }

  /** Returns the keys of session tokens; the first one signs new tokens. */
  public List<SessionKey> sessionKeys() {
    return sessionKeys;
  }

  /** Returns the maximum length of a session token, in characters. */
  public int sessionTokenLength() {
    return sessionTokenLength;
  }

  /** Returns the bearer token for operators; if empty, the operator API is disabled. */
  public Optional<String> operatorToken() {
    return Optional.ofNullable(operatorToken);
  }

  /** Returns the limits of the HTTP edge. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns the limits of the instance as a home. */
  public HomeLimits homeLimits() {
    return homeLimits;
  }

  /** Returns the log settings. */
  public LogSettings log() {
    return log;
  }

  /** Returns the TLS files for callers; if empty, callers connect without TLS. */
  public Optional<TlsFiles> tls() {
    return Optional.ofNullable(tls);
  }

  @Override
  public String toString() {
    return "Settings[" + instanceId + " in " + availabilityZone + ", " + addresses + "]";
  }

  /** Builder of settings. Not thread-safe. */
  public static final class Builder {
    private final String instanceId;
    private final String availabilityZone;
    private @Nullable Addresses addresses;
    private @Nullable PlatformEndpoints platform;
    private List<SessionKey> sessionKeys = List.of();
    private int sessionTokenLength = DEFAULT_SESSION_TOKEN_LENGTH;
    private @Nullable String operatorToken;
    private CallerLimits callerLimits = CallerLimits.defaults();
    private HomeLimits homeLimits = HomeLimits.defaults();
    private LogSettings log = LogSettings.defaults();
    private @Nullable TlsFiles tls;

    private Builder(String instanceId, String availabilityZone) {
      this.instanceId = instanceId;
      this.availabilityZone = availabilityZone;
    }

    /** Sets the addresses that the instance listens on; required. */
    public Builder addresses(Addresses value) {
      addresses = value;
      return this;
    }

    /** Sets the endpoints of the platform; required. */
    public Builder platform(PlatformEndpoints value) {
      platform = value;
      return this;
    }

    /** Sets the keys of session tokens, the signing key first; at least one is required. */
    public Builder sessionKeys(List<SessionKey> value) {
      sessionKeys = List.copyOf(value);
      return this;
    }

    /** Sets the maximum length of a session token, in characters. */
    public Builder sessionTokenLength(int value) {
      sessionTokenLength = value;
      return this;
    }

    /** Sets the bearer token for operators; null disables the operator API. */
    public Builder operatorToken(@Nullable String value) {
      operatorToken = value;
      return this;
    }

    /** Sets the limits of the HTTP edge. */
    public Builder callerLimits(CallerLimits value) {
      callerLimits = value;
      return this;
    }

    /** Sets the limits of the instance as a home. */
    public Builder homeLimits(HomeLimits value) {
      homeLimits = value;
      return this;
    }

    /** Sets the log settings. */
    public Builder log(LogSettings value) {
      log = value;
      return this;
    }

    /** Sets the TLS files for callers; null to serve them without TLS. */
    public Builder tls(@Nullable TlsFiles value) {
      tls = value;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalStateException if addresses, platform endpoints or session keys are missing
     */
    public Settings build() {
      if (addresses == null || platform == null || sessionKeys.isEmpty()) {
        throw new IllegalStateException(
            "addresses, platform endpoints and a session key are required");
      }
      return new Settings(this, addresses, platform);
    }
  }
}
