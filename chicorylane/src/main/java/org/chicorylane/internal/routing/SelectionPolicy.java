package org.chicorylane.internal.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/** Load-balancing policy: the order of preference among replicas that are fresh enough. */
public enum SelectionPolicy {
  /** Orders replicas by the expected time until the answer, shortest first; ties are random. */
  LEAST_EXPECTED_WAIT {
    @Override
    List<ReplicaState> order(List<ReplicaState> replicas, RandomGenerator random) {
      List<ReplicaState> result = shuffled(replicas, random);
      result.sort(Comparator.comparingDouble(ReplicaState::expectedSeconds));
      return result;
    }
  },
  /**
   * Puts the better of two random replicas first; the others follow in random order (M.
   * Mitzenmacher: The Power of Two Choices in Randomized Load Balancing, IEEE Transactions on
   * Parallel and Distributed Systems, 2001).
   */
  TWO_RANDOM_CHOICES {
    @Override
    List<ReplicaState> order(List<ReplicaState> replicas, RandomGenerator random) {
      List<ReplicaState> result = shuffled(replicas, random);
      if (result.size() > 1 && result.get(0).expectedSeconds() > result.get(1).expectedSeconds()) {
        Collections.swap(result, 0, 1);
      }
      return result;
    }
  };

  /** Returns the replicas in order of preference. */
  abstract List<ReplicaState> order(List<ReplicaState> replicas, RandomGenerator random);

  private static List<ReplicaState> shuffled(List<ReplicaState> replicas, RandomGenerator random) {
    List<ReplicaState> result = new ArrayList<>(replicas);
    for (int i = result.size() - 1; i > 0; i--) {
      Collections.swap(result, i, random.nextInt(i + 1));
    }
    return result;
  }
}
