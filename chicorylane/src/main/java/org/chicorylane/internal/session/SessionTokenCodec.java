package org.chicorylane.internal.session;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.session.generated.GroupPositionMessage;
import org.chicorylane.internal.session.generated.SessionTokenMessage;
import org.chicorylane.internal.session.generated.SignedTokenMessage;

/**
 * Encodes session tokens as signed text, and verifies and decodes that text.
 *
 * <pre>{@code
 * SessionTokenCodec codec = new SessionTokenCodec(List.of(newKey, oldKey), 8_192);
 * String text = codec.write(token); // signed with newKey
 * TokenReadResult result = codec.read(text); // either key verifies
 * }</pre>
 *
 * <p>The text is a protobuf message in base64url without padding. The message holds the key's id,
 * the token, and an HMAC-SHA256 (RFC 2104) over both. Equal tokens give equal text.
 *
 * <p>Immutable and thread-safe. To rotate keys, append the new key on every instance, so that all
 * accept its tokens; then move it to the front, so that it signs; then remove the old key when none
 * of its tokens is in use.
 */
public final class SessionTokenCodec {
  private static final String MAC_ALGORITHM = "HmacSHA256";

  private final List<SessionKey> keys;
  private final int maximumLength;

  /**
   * Creates a codec.
   *
   * @param keys the keys, newest first; the first one signs, and all of them verify
   * @param maximumLength the maximum number of characters of a token's text
   * @throws IllegalArgumentException if there is no key or two keys have the same id
   */
  public SessionTokenCodec(List<SessionKey> keys, int maximumLength) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("no session key");
    }
    if (keys.stream().map(SessionKey::id).distinct().count() != keys.size()) {
      throw new IllegalArgumentException("two session keys share an id: " + keys);
    }
    this.keys = List.copyOf(keys);
    this.maximumLength = maximumLength;
  }

  /** Returns the maximum number of characters of a text that is accepted. */
  public int maximumLength() {
    return maximumLength;
  }

  /** Returns the token as text, signed with the first key. */
  public String write(SessionToken token) {
    SessionTokenMessage.Builder message =
        SessionTokenMessage.newBuilder().setSessionId(token.sessionId());
    new TreeMap<>(token.positions())
        .forEach(
            (group, position) ->
                message.addPositions(
                    GroupPositionMessage.newBuilder()
                        .setGroup(group)
                        .setTerm(position.term())
                        .setOffset(position.offset())));
    SessionKey newest = keys.get(0);
    byte[] body = message.build().toByteArray();
    SignedTokenMessage signed =
        SignedTokenMessage.newBuilder()
            .setKeyId(newest.id())
            .setToken(ByteString.copyFrom(body))
            .setSignature(ByteString.copyFrom(sign(newest, body)))
            .build();
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed.toByteArray());
  }

  /**
   * Returns whether a position of {@code group} can be added to the token: whether the text stays
   * within the maximum length even when the positions of all its groups reach their largest value.
   */
  public boolean hasRoomFor(SessionToken token, String group) {
    LogPosition largest = new LogPosition(Long.MAX_VALUE, Long.MAX_VALUE);
    SessionToken widest = token.advance(group, largest);
    for (String groupOfToken : token.positions().keySet()) {
      widest = widest.advance(groupOfToken, largest);
    }
    return write(widest).length() <= maximumLength;
  }

  /** Verifies and decodes a token's text. Malformed text gives a result, never an exception. */
  public TokenReadResult read(String text) {
    if (text.length() > maximumLength) {
      return new TokenReadResult.Malformed(
          "the session token has " + text.length() + " characters, more than " + maximumLength);
    }
    SignedTokenMessage signed;
    try {
      signed = SignedTokenMessage.parseFrom(Base64.getUrlDecoder().decode(text));
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      return new TokenReadResult.Malformed("the session token is not in a token's form");
    }
    byte[] body = signed.getToken().toByteArray();
    for (SessionKey key : keys) {
      if (key.id().equals(signed.getKeyId())) {
        boolean genuine =
            MessageDigest.isEqual(sign(key, body), signed.getSignature().toByteArray());
        return genuine
            ? readBody(body)
            : new TokenReadResult.Forged("the session token's signature does not match");
      }
    }
    return new TokenReadResult.Forged("the session token's key is not in force");
  }

  private static TokenReadResult readBody(byte[] body) {
    try {
      SessionTokenMessage message = SessionTokenMessage.parseFrom(body);
      Map<String, LogPosition> positions = new HashMap<>();
      for (GroupPositionMessage p : message.getPositionsList()) {
        positions.merge(
            p.getGroup(), new LogPosition(p.getTerm(), p.getOffset()), LogPosition::max);
      }
      return new TokenReadResult.Valid(new SessionToken(message.getSessionId(), positions));
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      return new TokenReadResult.Malformed("the session token's content is not in a token's form");
    }
  }

  private static byte[] sign(SessionKey key, byte[] body) {
    byte[] id = key.id().getBytes(StandardCharsets.UTF_8);
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), MAC_ALGORITHM));
      mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(id.length).flip());
      mac.update(id);
      return mac.doFinal(body);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not provide " + MAC_ALGORITHM, e);
    }
  }
}
