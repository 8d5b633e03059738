package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.chicorylane.internal.pool.ConnectionShares.Side;
import org.junit.jupiter.api.Test;

/** Guards against connections that are kept for accounts which need them less than others. */
final class ConnectionSharesTest {

  private final ConnectionShares shares = new ConnectionShares();
  private long now = Duration.ofHours(1).toNanos();

  /** Lets an account take connections at a steady rate, each for 10 ms. */
  private void use(String account, int perSecond, int seconds) {
    for (int i = 0; i < perSecond * seconds; i++) {
      now += Duration.ofSeconds(1).toNanos() / perSecond;
      shares.onTaken(Side.REPLICAS, account, now);
      shares.onGivenBack(Side.REPLICAS, account, Duration.ofMillis(10).toNanos());
    }
  }

  private double gain(String account, int count) {
    return shares.gainPerSecond(Side.REPLICAS, account, count, now);
  }

  @Test
  void testFirstConnectionOfSmallAccountIsWorthMoreThanSixthOfLargeOne() {
    use("small", 1, 20);
    use("large", 50, 20);
    assertThat(gain("large", 1)).isGreaterThan(gain("small", 1));
    assertThat(gain("small", 1)).isGreaterThan(gain("large", 6));
  }

  @Test
  void testConnectionsOfBurstLoseTheirWorthAfterIt() {
    use("hot", 150, 6);
    assertThat(shares.isWorthAnother(Side.REPLICAS, "hot", 3, now)).isTrue();
    now += Duration.ofSeconds(10).toNanos();
    assertThat(shares.isWorthAnother(Side.REPLICAS, "hot", 3, now)).isFalse();
  }

  @Test
  void testUnknownAccountIsWorthNothing() {
    use("small", 1, 3);
    shares.forget("small");
    assertThat(gain("small", 1)).isEqualTo(0);
  }

  @Test
  void testAccountIsBoundedByWhatItCanUseAtTheSameTime() {
    assertThat(ConnectionShares.maxOfAccount(4, 0, 51)).isEqualTo(5);
    assertThat(ConnectionShares.maxOfAccount(4, 3, 51)).isEqualTo(8);
    assertThat(ConnectionShares.maxOfAccount(4, 40, 51)).isEqualTo(25);
  }
}
