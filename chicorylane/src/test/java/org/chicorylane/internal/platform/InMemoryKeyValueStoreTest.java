package org.chicorylane.internal.platform;

import org.chicorylane.standin.platform.KeyValueEngine;

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
