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
 * <p>Immutable and thread-safe. Its text form shows no secret. {@link SettingsReader} makes one
 * from a JSON document and checks it.
 */
public final class Settings {
  /** The longest session token of an instance whose settings say nothing of it, in characters. */
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

  /** Returns a builder for the instance of that id in that availability zone. */
  public static Builder builder(String instanceId, String availabilityZone) {
    return new Builder(instanceId, availabilityZone);
  }

  /** Returns the id, unique among instances. */
  public String instanceId() {
    return instanceId;
  }

  /** Returns the availability zone that the instance runs in. */
  public String availabilityZone() {
    return availabilityZone;
  }

  /** Returns where the instance listens. */
  public Addresses addresses() {
    return addresses;
  }

  /** Returns where the platform answers. */
  public PlatformEndpoints platform() {
    return platform;
  }

  /** Returns the keys of session tokens, the signing one first. */
  public List<SessionKey> sessionKeys() {
    return sessionKeys;
  }

  /** Returns the longest session token, in characters. */
  public int sessionTokenLength() {
    return sessionTokenLength;
  }

  /** Returns the operators' bearer token; without one, operators are not served. */
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

  /** Returns how the instance logs. */
  public LogSettings log() {
    return log;
  }

  /** Returns where the certificate for callers is; without one, they come in clear text. */
  public Optional<TlsFiles> tls() {
    return Optional.ofNullable(tls);
  }

  @Override
  public String toString() {
    return "Settings[" + instanceId + " in " + availabilityZone + ", " + addresses + "]";
  }

  /** Collects settings. Not thread-safe. */
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

    /** Sets where the instance listens; required. */
    public Builder addresses(Addresses value) {
      addresses = value;
      return this;
    }

    /** Sets where the platform answers; required. */
    public Builder platform(PlatformEndpoints value) {
      platform = value;
      return this;
    }

    /** Sets the keys of session tokens, the signing one first; at least one is required. */
    public Builder sessionKeys(List<SessionKey> value) {
      sessionKeys = List.copyOf(value);
      return this;
    }

    /** Sets the longest session token, in characters. */
    public Builder sessionTokenLength(int value) {
      sessionTokenLength = value;
      return this;
    }

    /** Sets the operators' bearer token. */
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

    /** Sets how the instance logs. */
    public Builder log(LogSettings value) {
      log = value;
      return this;
    }

    /** Sets where the certificate for callers is. */
    public Builder tls(@Nullable TlsFiles value) {
      tls = value;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalStateException if something required is missing
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
