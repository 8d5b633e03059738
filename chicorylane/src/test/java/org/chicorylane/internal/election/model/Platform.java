package org.chicorylane.internal.election.model;

import org.chicorylane.internal.election.model.ModelState.Server;

/** What the platform promises about orders to promote a server. */
enum Platform {
  /** An order, also a late or repeated call, has no effect after a bound of time. */
  BOUNDED {
    @Override
    void awaitEndOfOrdersExcept(ModelState s, int target) {
      for (int server = 0; server < ModelState.SERVERS; server++) {
        if (server != target) {
          s.set(Server.ORDERED, server, 0);
        }
      }
    }
  },

  /** An order may take effect at any later time, and the homes act as if there were a bound. */
  UNBOUNDED,

  /**
   * An order may take effect at any later time, but not after one with a higher token. The homes
   * rely on that and not on time.
   */
  FENCED {
    @Override
    boolean hasBound() {
      return false;
    }

    @Override
    void onOrder(ModelState s, int target) {
      int token = s.get(Server.ORDERED, target);
      for (int server = 0; server < ModelState.SERVERS; server++) {
        int other = s.get(Server.ORDERED, server);
        boolean movesDown = token > 0 && other > token;
        s.set(Server.ORDERED, server, movesDown ? other - 1 : other);
      }
      int highest = 0;
      for (int server = 0; server < ModelState.SERVERS; server++) {
        highest = server == target ? highest : Math.max(highest, s.get(Server.ORDERED, server));
      }
      s.set(Server.ORDERED, target, highest + 1);
    }

    @Override
    void onEffect(ModelState s, int target) {
      int token = s.get(Server.ORDERED, target);
      for (int server = 0; server < ModelState.SERVERS; server++) {
        int other = s.get(Server.ORDERED, server);
        s.set(Server.ORDERED, server, Math.max(0, other - token + 1));
      }
    }
  };

  /** Returns whether homes may wait until an order can no longer take effect. */
  boolean hasBound() {
    return true;
  }

  /** Records an order; the field is the rank of its token among the orders under way. */
  void onOrder(ModelState s, int target) {
    s.set(Server.ORDERED, target, 1);
  }

  /** Ends the orders that the platform rejects from now on. */
  void onEffect(ModelState s, int target) {}

  /** Waits until no order for another server can take effect, if there is such a time. */
  void awaitEndOfOrdersExcept(ModelState s, int target) {}
}
