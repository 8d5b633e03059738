package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A qualified revision never falls, whatever revision a later era assigns. */
final class StoreEraTest {

  @Test
  void testRevisionOfLaterEraIsHigherThanAnyOfEarlierEra() {
    assertThat(StoreEra.qualify(2, 1)).isGreaterThan(StoreEra.qualify(1, (1L << 40) - 1));
  }

  @Test
  void testRevisionOfStoreWithoutErasIsUnchanged() {
    assertThat(StoreEra.qualify(0, 57)).isEqualTo(57);
  }

  @Test
  void testHighestEraIsExactAsDouble() {
    long highest = StoreEra.qualify(StoreEra.MAXIMUM_ERA, (1L << 40) - 1);
    assertThat((long) (double) highest).isEqualTo(highest);
  }

  @Test
  void testQualifiedRevisionTellsBothParts() {
    long qualified = StoreEra.qualify(3, 57);
    assertThat(StoreEra.of(qualified)).isEqualTo(3);
    assertThat(StoreEra.revisionOf(qualified)).isEqualTo(57);
  }

  @ParameterizedTest
  @CsvSource({"-1, 1", "1, -1", "8192, 1", "1, 1099511627776"})
  void testPartOutOfRangeIsRejected(long era, long revision) {
    assertThrows(IllegalArgumentException.class, () -> StoreEra.qualify(era, revision));
  }
}
