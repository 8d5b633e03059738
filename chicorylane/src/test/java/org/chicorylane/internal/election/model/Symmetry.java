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
    Instance.ACKNOWLEDGED,
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
    int[] servers = ranks(serverKeys);
    int[] instances = ranks(instanceKeys);
    boolean isOrdered = isIdentity(servers) && isIdentity(instances);
    return (isOrdered ? s : s.renumbered(servers, instances)).fingerprint();
  }

  private static long keyOfServer(ModelState s, int server) {
    long key = s.get(Group.PROMOTING) == server ? 1 : 0;
    key = key << 1 | (s.get(Group.LATE_PROMOTING) == server ? 1 : 0);
    key = key << 1 | (s.get(Group.LOST_SERVER) == server ? 1 : 0);
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

  private static boolean isIdentity(int[] numbers) {
    for (int n = 0; n < numbers.length; n++) {
      if (numbers[n] != n) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns by index the rank of the key, from the greatest; of equal keys, the first has the lower
   * rank.
   */
  private static int[] ranks(long[] keys) {
    int[] ranks = new int[keys.length];
    for (int a = 0; a < keys.length; a++) {
      for (int b = 0; b < a; b++) {
        ranks[keys[a] > keys[b] ? b : a]++;
      }
    }
    return ranks;
  }
}
