package org.chicorylane.internal.election.model;

import java.util.Arrays;
import java.util.BitSet;

/** The steps without faults between states, to find those from which the group is never served. */
final class ProgressGraph {

  private static final int INITIAL_CAPACITY = 1 << 16;

  private final BitSet served = new BitSet();
  private final BitSet required = new BitSet();
  private int[] from = new int[INITIAL_CAPACITY];
  private int[] to = new int[INITIAL_CAPACITY];
  private int steps;
  private int states;

  /**
   * Adds a state.
   *
   * @param isServed whether the group is served in it
   * @param isRequired whether a state in which the group is served must be reachable from it
   */
  void addState(int state, boolean isServed, boolean isRequired) {
    states = Math.max(states, state + 1);
    served.set(state, isServed);
    required.set(state, isRequired);
  }

  void addStep(int before, int after) {
    if (steps == from.length) {
      from = Arrays.copyOf(from, 2 * steps);
      to = Arrays.copyOf(to, 2 * steps);
    }
    from[steps] = before;
    to[steps] = after;
    steps++;
  }

  /** Returns the first state that never leads to one in which the group is served; -1 if none. */
  int firstStuck() {
    int[] starts = new int[states + 1];
    for (int n = 0; n < steps; n++) {
      starts[to[n] + 1]++;
    }
    for (int n = 0; n < states; n++) {
      starts[n + 1] += starts[n];
    }
    int[] before = new int[steps];
    int[] next = starts.clone();
    for (int n = 0; n < steps; n++) {
      before[next[to[n]]++] = from[n];
    }
    BitSet recovers = (BitSet) served.clone();
    int[] pending = new int[states];
    int count = 0;
    for (int state = served.nextSetBit(0); state >= 0; state = served.nextSetBit(state + 1)) {
      pending[count++] = state;
    }
    while (count > 0) {
      int state = pending[--count];
      for (int n = starts[state]; n < starts[state + 1]; n++) {
        if (!recovers.get(before[n])) {
          recovers.set(before[n]);
          pending[count++] = before[n];
        }
      }
    }
    BitSet stuck = (BitSet) required.clone();
    stuck.andNot(recovers);
    return stuck.nextSetBit(0);
  }
}
