package org.chicorylane.internal.election.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Breadth-first search of all states of the model. States are recognized by a hash of 64 bits, so
 * that two states are confused with a negligible probability.
 */
final class StateSearch {

  /**
   * Result of a search.
   *
   * @param violation the violation that was found, or an empty text
   * @param trace the shortest run to the violation, in plain words
   * @param states number of different states that were found
   * @param depth number of steps of the longest run that was searched
   * @param isComplete whether all states within the bounds were searched
   */
  record Result(String violation, List<String> trace, int states, int depth, boolean isComplete) {}

  private static final Step[] STEPS =
      Stream.of(GroupStep.values(), HomeStep.values()).flatMap(Arrays::stream).toArray(Step[]::new);
  private static final int INITIAL_CAPACITY = 1 << 16;

  private final ModelRules rules;
  private final Set<Violation> violations;
  private final int maximumStates;
  private final Queue<ModelState> pending = new ArrayDeque<>();
  private final @Nullable ProgressGraph progress;

  /** Open-addressed set of hashes; 0 marks a free place. */
  private long[] known = new long[2 * INITIAL_CAPACITY];

  /** The number of the state of each hash. */
  private int[] numbers = new int[known.length];

  /** By state, in the order in which they were found: the state before, and the encoded step. */
  private int[] parents = new int[INITIAL_CAPACITY];

  private short[] moves = new short[INITIAL_CAPACITY];
  private int count;

  /**
   * Creates a search.
   *
   * @param violations the violations at which the search ends
   * @param maximumStates number of states after which the search ends incomplete
   */
  StateSearch(ModelRules rules, Set<Violation> violations, int maximumStates) {
    this(rules, violations, maximumStates, null);
  }

  private StateSearch(
      ModelRules rules,
      Set<Violation> violations,
      int maximumStates,
      @Nullable ProgressGraph progress) {
    this.rules = rules;
    this.violations = violations;
    this.maximumStates = maximumStates;
    this.progress = progress;
  }

  /**
   * Searches all states and returns the shortest run to one from which no sequence of steps without
   * faults leads to a state in which the group is served. States of the last term do not count, as
   * the bounds allow no promotion there.
   */
  static Result findStuck(ModelRules rules, int maximumStates) {
    ProgressGraph graph = new ProgressGraph();
    StateSearch search = new StateSearch(rules, Set.of(), maximumStates, graph);
    Result all = search.run();
    int stuck = all.isComplete() ? graph.firstStuck() : -1;
    return stuck < 0
        ? all
        : new Result("STUCK", search.trace(stuck), all.states(), all.depth(), true);
  }

  /** Searches until a violation is found, all states were searched, or there are too many. */
  Result run() {
    int depth = 0;
    int endOfDepth = 1;
    add(ModelState.initial(rules), -1, 0);
    for (int id = 0; !pending.isEmpty(); id++) {
      if (id == endOfDepth) {
        depth++;
        endOfDepth = count;
      }
      ModelState s = pending.remove();
      for (Violation v : violations) {
        if (v.isIn(s, rules.bounds().instances())) {
          return new Result(v.name(), trace(id), count, depth, false);
        }
      }
      if (count >= maximumStates) {
        return new Result("", List.of(), count, depth, false);
      }
      if (progress != null) {
        progress.addState(id, s.isServed(), s.newestTerm() < rules.bounds().terms());
      }
      expand(s, id);
    }
    return new Result("", List.of(), count, depth, true);
  }

  private void expand(ModelState s, int id) {
    for (int n = 0; n < STEPS.length; n++) {
      Step step = STEPS[n];
      int firstSize = step.first().size(rules);
      int secondSize = step.second().size(rules);
      for (int a = 0; a < firstSize; a++) {
        for (int b = 0; b < secondSize; b++) {
          if (step.isEnabled(s, rules, a, b)) {
            ModelState next = s.copy();
            step.apply(next, rules, a, b);
            int nextId = add(next, id, n << 4 | a << 2 | b);
            if (progress != null && !step.isFault()) {
              progress.addStep(id, nextId);
            }
          }
        }
      }
    }
  }

  /** Adds a state unless it is known, and returns its number. */
  private int add(ModelState s, int parent, int move) {
    long hash = Symmetry.hash(s);
    long stored = hash == 0 ? 1 : hash;
    int place = placeOf(stored);
    if (known[place] != 0) {
      return numbers[place];
    }
    known[place] = stored;
    numbers[place] = count;
    if (count == parents.length) {
      parents = Arrays.copyOf(parents, 2 * count);
      moves = Arrays.copyOf(moves, 2 * count);
    }
    parents[count] = parent;
    moves[count] = (short) move;
    count++;
    pending.add(s);
    if (2 * count >= known.length) {
      enlarge();
    }
    return count - 1;
  }

  private void enlarge() {
    long[] oldKnown = known;
    int[] oldNumbers = numbers;
    known = new long[2 * oldKnown.length];
    numbers = new int[known.length];
    for (int each = 0; each < oldKnown.length; each++) {
      if (oldKnown[each] != 0) {
        int place = placeOf(oldKnown[each]);
        known[place] = oldKnown[each];
        numbers[place] = oldNumbers[each];
      }
    }
  }

  /** Returns the place of a hash, or the free place for it. */
  private int placeOf(long hash) {
    int mask = known.length - 1;
    int place = (int) (hash >>> 7) & mask;
    while (known[place] != 0 && known[place] != hash) {
      place = (place + 1) & mask;
    }
    return place;
  }

  private List<String> trace(int id) {
    List<String> steps = new ArrayList<>();
    for (int each = id; parents[each] >= 0; each = parents[each]) {
      steps.add(describe(moves[each]));
    }
    Collections.reverse(steps);
    return steps;
  }

  private static String describe(int move) {
    return STEPS[move >> 4].describe(move >> 2 & 3, move & 3);
  }
}
