package org.chicorylane.internal.election.model;

import org.chicorylane.internal.election.model.ModelState.Group;
import org.chicorylane.internal.election.model.ModelState.Instance;
import org.chicorylane.internal.election.model.ModelState.Server;

/**
 * Hashes states alike that differ only in the numbers of servers or instances. Servers and
 * instances are ordered by their own fields; where these are equal, some like states are hashed
 * differently, which costs time only.
 */
final class Symmetry {

  /** Fields of an instance that name no other instance or server. */
  private static final Instance[] OWN_FIELDS = {
    Instance.ROLE,
    Instance.LEASE,
    Instance.PHASE,
    Instance.HALT,
    Instance.TERM,
    Instance.SERVED,
    Instance.RETIRED_LEASE,
    Instance.RETIRED_TERM,
    Instance.BOUND,
    Instance.BOUND_KNOWN,
    Instance.EPOCH,
    Instance.BARRED,
    Instance.FORGOT
  };

  private static final Server[] SERVER_FIELDS = Server.values();

  /** Number of bits that hold any field of a server. */
  private static final int LOG_BITS = ModelState.MAX_COMMITS + 1;

  /** Number of bits that hold any of these fields of an instance. */
  private static final int FIELD_BITS = 3;

  private Symmetry() {}

  static long hash(ModelState s) {
    long[] serverKeys = new long[ModelState.SERVERS];
    for (int server = 0; server < serverKeys.length; server++) {
      serverKeys[server] = keyOfServer(s, server);
    }
    long[] instanceKeys = new long[ModelState.MAX_INSTANCES];
    for (int i = 0; i < instanceKeys.length; i++) {
      instanceKeys[i] = keyOfInstance(s, i);
    }
    return s.renumbered(ranks(serverKeys), ranks(instanceKeys)).fingerprint();
  }

  private static long keyOfServer(ModelState s, int server) {
    long key = s.get(Group.PROMOTING) == server ? 1 : 0;
    for (int term = 1; term <= s.newestTerm(); term++) {
      key = key << 1 | (s.leader(term) == server ? 1 : 0);
    }
    for (Server field : SERVER_FIELDS) {
      key = key << LOG_BITS | s.get(field, server);
    }
    for (int i = 0; i < ModelState.MAX_INSTANCES; i++) {
      key = key << 1 | (s.get(Instance.TARGET, i) == server ? 1 : 0);
    }
    return key;
  }

  private static long keyOfInstance(ModelState s, int i) {
    long key = s.get(Group.HOME) == i ? 1 : 0;
    key = key << 1 | (s.get(Group.SUCCESSOR) == i ? 1 : 0);
    key = key << 1 | (s.get(Group.PRIOR_HOMES) >> i & 1);
    for (Instance field : OWN_FIELDS) {
      key = key << FIELD_BITS | s.get(field, i);
    }
    return key;
  }

  /** Returns by index the rank of the key; of equal keys, the first has the lower rank. */
  private static int[] ranks(long[] keys) {
    int[] ranks = new int[keys.length];
    for (int a = 0; a < keys.length; a++) {
      for (int b = 0; b < a; b++) {
        ranks[keys[a] < keys[b] ? b : a]++;
      }
    }
    return ranks;
  }
}
