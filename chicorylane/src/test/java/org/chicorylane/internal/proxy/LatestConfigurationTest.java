package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.runtime.DecisionLog;
import org.junit.jupiter.api.Test;

/** A configuration must not go back when the store returns from an older copy. */
final class LatestConfigurationTest {

  private final List<Long> applied = new ArrayList<>();
  private final LatestConfiguration configuration =
      new LatestConfiguration(new ModelFleet(0), () -> 0, DecisionLog.none(), this::recordVersion);

  private void recordVersion() {
    applied.add(configuration.version());
  }

  @Test
  void testOlderVersionFromRestoredStoreIsIgnored() {
    configuration.update("5", "the store");
    configuration.update("3", "the store");
    assertThat(configuration.version()).isEqualTo(5);
    assertThat(configuration.text()).isEqualTo("5");
    configuration.update("7", "the store");
    assertThat(applied).containsExactly(5L, 7L).inOrder();
  }
}
