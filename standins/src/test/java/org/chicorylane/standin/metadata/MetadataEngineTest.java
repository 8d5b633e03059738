package org.chicorylane.standin.metadata;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class MetadataEngineTest {

  private final MetadataEngine engine = new MetadataEngine();

  // Guards against a watch that waits on because the store was restored just after it had begun.
  @Test
  @Timeout(10)
  void testChangesEndIfTheStoreWasRestoredSinceTheCallBegan() throws InterruptedException {
    MetadataEngine.Copy copy = engine.copy();
    long after = engine.revision();
    long startEra = engine.era();
    engine.restore(copy);
    assertThat(engine.changes("a", after, 60_000, startEra)).isNull();
  }
}
