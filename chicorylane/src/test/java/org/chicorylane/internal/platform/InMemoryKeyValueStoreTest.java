package org.chicorylane.internal.platform;

import org.chicorylane.standin.platform.KeyValueEngine;

/**
 * Runs the contract tests against the in-memory fake, so that tests which use the fake do not rely
 * on behaviour that the real client lacks.
 */
final class InMemoryKeyValueStoreTest extends KeyValueStoreContract {

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

  @Override
  KeyValueStore store() {
    return store;
  }

  @Override
  KeyValueEngine engine() {
    return store.engine();
  }

  @Override
  void loseNextAnswers(int count) {
    store.loseNextAnswers(count);
  }

  @Override
  void setDown(boolean down) {
    store.setDown(down);
  }
}
