package org.chicorylane.internal.session;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.position.LogPosition;
import org.junit.jupiter.api.Test;

/**
 * Guards the signature of session tokens against forged, altered, malformed and too long texts, key
 * rotation against tokens that an instance rejects too early, and positions against moving back
 * when answers arrive out of order.
 */
final class SessionTokenCodecTest {
  private static final int MAXIMUM_LENGTH = 512;

  private final SessionKey oldKey = key("old", 'o');
  private final SessionKey newKey = key("new", 'n');
  private final SessionTokenCodec codec =
      new SessionTokenCodec(List.of(newKey, oldKey), MAXIMUM_LENGTH);
  private final SessionToken token =
      SessionToken.fresh("s1").advance("ledger", new LogPosition(2, 77));

  @Test
  void testWrittenTokenIsReadBack() {
    assertThat(codec.read(codec.write(token))).isEqualTo(new TokenReadResult.Valid(token));
  }

  @Test
  void testOldKeysVerifyAndNewestKeySigns() {
    SessionTokenCodec codecWithOldKey = new SessionTokenCodec(List.of(oldKey), MAXIMUM_LENGTH);

    assertThat(codec.read(codecWithOldKey.write(token)))
        .isEqualTo(new TokenReadResult.Valid(token));
    assertThat(codecWithOldKey.read(codec.write(token))).isInstanceOf(TokenReadResult.Forged.class);
  }

  @Test
  void testTokenIsForgedWhenKeyOfSameIdHasAnotherSecret() {
    SessionTokenCodec other = new SessionTokenCodec(List.of(key("new", 'x')), MAXIMUM_LENGTH);

    assertThat(other.read(codec.write(token))).isInstanceOf(TokenReadResult.Forged.class);
  }

  @Test
  void testTextWithAnyFlippedBitIsInvalid() {
    byte[] signed = Base64.getUrlDecoder().decode(codec.write(token));
    for (int i = 0; i < signed.length * Byte.SIZE; i++) {
      byte[] changed = signed.clone();
      changed[i / Byte.SIZE] ^= (byte) (1 << (i % Byte.SIZE));
      String text = Base64.getUrlEncoder().withoutPadding().encodeToString(changed);
      assertWithMessage("bit %s", i)
          .that(codec.read(text))
          .isNotInstanceOf(TokenReadResult.Valid.class);
    }
  }

  @Test
  void testRandomTextIsInvalidAndNeverThrows() {
    Random random = new Random(7);
    for (int i = 0; i < 2_000; i++) {
      byte[] randomBytes = new byte[random.nextInt(200)];
      random.nextBytes(randomBytes);
      String text =
          random.nextBoolean()
              ? new String(randomBytes, StandardCharsets.ISO_8859_1)
              : Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes);
      assertThat(codec.read(text)).isNotInstanceOf(TokenReadResult.Valid.class);
    }
  }

  @Test
  void testTooLongTextIsMalformed() {
    assertThat(codec.read("A".repeat(MAXIMUM_LENGTH + 1)))
        .isInstanceOf(TokenReadResult.Malformed.class);
  }

  @Test
  void testHasRoomUntilTextWouldExceedMaximumLength() {
    SessionToken full = token;
    for (int i = 0; codec.hasRoomFor(full, "group-" + i); i++) {
      full = full.advance("group-" + i, new LogPosition(Long.MAX_VALUE, Long.MAX_VALUE));
    }

    assertThat(full.positions().size()).isGreaterThan(3);
    assertThat(codec.read(codec.write(full))).isEqualTo(new TokenReadResult.Valid(full));
    assertThat(codec.hasRoomFor(full, "ledger")).isTrue();
  }

  @Test
  void testAdvancingInAnyOrderNeverMovesFloorBack() {
    Random random = new Random(11);
    SessionToken seen = SessionToken.fresh("s");
    LogPosition highest = LogPosition.ZERO;
    for (int i = 0; i < 1_000; i++) {
      LogPosition next = new LogPosition(random.nextInt(4), random.nextInt(100));
      highest = highest.max(next);
      seen = seen.advance("ledger", next);
      assertThat(seen.floor("ledger")).hasValue(highest);
    }
    assertThat(seen.without("ledger").floor("ledger")).isEmpty();
  }

  private static SessionKey key(String id, char fill) {
    byte[] secret = new byte[SessionKey.MINIMUM_SECRET_BYTES];
    Arrays.fill(secret, (byte) fill);
    return new SessionKey(id, secret);
  }
}
