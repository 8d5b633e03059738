package org.chicorylane.bench.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.chicorylane.standin.wire.AnswerFaults.CopiedAnswers;
import org.chicorylane.standin.wire.AnswerFaults.CopyTime;
import org.chicorylane.standin.wire.InstanceSettings;
import org.chicorylane.standin.wire.ReplicatedGroup;
import org.chicorylane.standin.wire.ReplicatedServer;

/** The faults and changes of a soak. Each undoes itself after a time that it draws. */
public enum Fault {
  /** An instance is killed. */
  KILL_INSTANCE(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      choose(fleet.instances(), random).signal("KILL");
    }
  },
  /** Most instances are killed at once, half of the times beside a crash of a primary. */
  KILL_MOST_INSTANCES(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      for (InstanceProcess instance : fleet.instances()) {
        if (random.nextDouble() < KILLED_SHARE) {
          instance.signal("KILL");
        }
      }
      int millis = 500 + random.nextInt(5_000);
      if (random.nextBoolean()) {
        fleet.after(random.nextInt(400), () -> crash(fleet, group.primary(), millis));
      }
    }
  },
  /** An instance is paused, mostly for a moment and sometimes longer than its lease. */
  PAUSE_INSTANCE(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      pause(fleet, choose(fleet.instances(), random), random);
    }
  },
  /** An instance is told to end; half of the times another one follows while it drains. */
  TERMINATE_INSTANCE(true, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      InstanceProcess first = choose(fleet.instances(), random);
      InstanceProcess second = choose(fleet.instances(), random);
      first.signal("TERM");
      if (random.nextBoolean() && fleet.instances().size() > 2) {
        fleet.after(random.nextInt(3_000), () -> second.signal("TERM"));
      }
    }
  },
  /** An instance is told to read its settings again. */
  RELOAD_INSTANCE(true, 1) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      choose(fleet.instances(), random).signal("HUP");
    }
  },
  /** A primary crashes and returns with its log. */
  CRASH_PRIMARY(false, 5) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      crash(fleet, group.primary(), 500 + random.nextInt(8_000));
    }
  },
  /** A replica crashes and returns with its log. */
  CRASH_REPLICA(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException {
      crash(fleet, chooseReplica(group, random), 200 + random.nextInt(5_000));
    }
  },
  /** A primary freezes. */
  FREEZE_PRIMARY(false, 4) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      freeze(fleet, group.primary(), 300 + random.nextInt(5_000));
    }
  },
  /** A replica freezes. */
  FREEZE_REPLICA(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      freeze(fleet, chooseReplica(group, random), 300 + random.nextInt(5_000));
    }
  },
  /** A server has no entry in the store for a time, although it runs. */
  LAPSE_SERVER(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      lapse(fleet, choose(group.servers(), random), 500 + random.nextInt(5_000));
    }
  },
  /** A server is cut off from the other servers, but not from the instances. */
  ISOLATE_SERVER(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server = choose(group.servers(), random);
      fleet.event("isolated: " + server.describe());
      server.setIsolated(true);
      fleet.after(500 + random.nextInt(5_000), () -> server.setIsolated(false));
    }
  },
  /** Commits reach a replica late from now on, and are applied later. */
  SLOW_REPLICA(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      chooseReplica(group, random).setDelays(random.nextInt(1_000), random.nextInt(800));
    }
  },
  /** A server is replaced as planned: it drains, ends, and a new one starts with its log. */
  REPLACE_SERVER(true, 6) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server =
          random.nextInt(4) > 0 ? group.primary() : choose(group.servers(), random);
      fleet.event("drains: " + server.describe());
      fleet.system().setDraining(server, true);
      fleet.after(
          DRAIN_MILLIS,
          () -> {
            crash(fleet, server, REPLACEMENT_MILLIS, fleet.nextServerId(server));
            fleet.system().setDraining(server, false);
          });
    }
  },
  /** Some open connections to a server go silent for good. */
  SILENCE_SERVER(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server = choose(group.servers(), random);
      fleet.event("connections go silent: " + server.describe());
      fleet.linkTo(server).silence(random.nextDouble(), random);
    }
  },
  /** The link to a server is cut in one or both directions. */
  CUT_SERVER(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server = choose(group.servers(), random);
      fleet.event("link cut: " + server.describe());
      cut(fleet, fleet.linkTo(server), random);
    }
  },
  /** The link to a server is slow. */
  DELAY_SERVER(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      LinkProxy link = fleet.linkTo(choose(group.servers(), random));
      link.setDelay(random.nextInt(300));
      fleet.after(500 + random.nextInt(4_000), () -> link.setDelay(0));
    }
  },
  /** An instance is cut off from the store in one or both directions. */
  CUT_STORE(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      int index = random.nextInt(fleet.storeLinks().size());
      fleet.event("store link cut: " + fleet.instances().get(index).name());
      cut(fleet, fleet.storeLinks().get(index), random);
    }
  },
  /** The store is slow for an instance. */
  DELAY_STORE(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      LinkProxy link = choose(fleet.storeLinks(), random);
      link.setDelay(random.nextInt(700));
      fleet.after(500 + random.nextInt(5_000), () -> link.setDelay(0));
    }
  },
  /** The store refuses all calls. */
  STOP_STORE(false, 1) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      int millis = 300 + random.nextInt(5_000);
      fleet.event("store down");
      fleet.noteStoreOutage(millis);
      fleet.system().store().setDown(true);
      fleet.after(millis, () -> fleet.system().store().setDown(false));
    }
  },
  /** A server sends a share of its answers twice for a time, in pieces in half of the cases. */
  REPEAT_ANSWERS(false, 4) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server = choose(group.servers(), random);
      CopiedAnswers answers = choose(List.of(CopiedAnswers.values()), random);
      CopyTime time = choose(List.of(CopyTime.values()), random);
      boolean isRare = answers == CopiedAnswers.GREETING || answers == CopiedAnswers.STATUS;
      double share = isRare ? 1 : random.nextDouble() * MAX_COPY_SHARE;
      boolean splits = random.nextBoolean();
      fleet.event("repeats answers (" + answers + ", " + time + "): " + server.describe());
      server.faults().copy(share, answers, time);
      server.faults().split(splits);
      fleet.after(
          500 + random.nextInt(6_000),
          () -> {
            server.faults().copy(0, answers, time);
            server.faults().split(false);
          });
    }
  },
  /** A server refuses a share of its statements for a time. */
  REFUSE_STATEMENTS(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      ReplicatedServer server = choose(group.servers(), random);
      fleet.event("refuses statements: " + server.describe());
      server.faults().refuse(random.nextDouble() * MAX_REFUSAL_SHARE);
      fleet.after(500 + random.nextInt(5_000), () -> server.faults().refuse(0));
    }
  },
  /** The store sends a share of its responses twice for a time. */
  REPEAT_RESPONSES(false, 2) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      fleet.event("store repeats responses");
      fleet.system().store().copyResponses(random.nextDouble(), random.nextInt(2_000));
      fleet.after(500 + random.nextInt(5_000), () -> fleet.system().store().copyResponses(0, 0));
    }
  },
  /** Calls for promotions or their answers arrive late. */
  CUT_PROMOTIONS(false, 3) {
    @Override
    void inject(SoakFleet fleet, ReplicatedGroup group, Random random) {
      cut(fleet, choose(fleet.promotionLinks(), random), random);
    }
  };

  private static final double KILLED_SHARE = 0.7;

  /** How long a server continues after it has reported that it drains. */
  private static final int DRAIN_MILLIS = 2 * InstanceSettings.DRAIN_MILLIS;

  /** Time until a new server has taken the place of one that ended. */
  private static final int REPLACEMENT_MILLIS = 300;

  /** The longest pause of an instance, longer than a home's lease. */
  private static final int MAX_PAUSE_MILLIS = 11_000;

  private static final int SHORT_PAUSE_MILLIS = 2_500;

  private static final double MAX_COPY_SHARE = 0.2;
  private static final double MAX_REFUSAL_SHARE = 0.5;

  private final boolean planned;
  private final int weight;

  Fault(boolean planned, int weight) {
    this.planned = planned;
    this.weight = weight;
  }

  /** Returns whether this is planned work, which no request may notice. */
  boolean isPlanned() {
    return planned;
  }

  /** Returns how often the fault is drawn in relation to others. */
  int weight() {
    return weight;
  }

  /** Injects the fault, in the given group if it concerns one. */
  abstract void inject(SoakFleet fleet, ReplicatedGroup group, Random random) throws IOException;

  static void pause(SoakFleet fleet, InstanceProcess instance, Random random) throws IOException {
    int limit = random.nextInt(5) == 0 ? MAX_PAUSE_MILLIS : SHORT_PAUSE_MILLIS;
    instance.signal("STOP");
    fleet.after(100 + random.nextInt(limit), () -> instance.signal("CONT"));
  }

  private static void crash(SoakFleet fleet, ReplicatedServer server, int millis)
      throws IOException {
    crash(fleet, server, millis, server.id());
  }

  private static void crash(SoakFleet fleet, ReplicatedServer server, int millis, String nextId)
      throws IOException {
    if (!server.isRunning()) {
      return;
    }
    fleet.event("crashes for " + millis + " ms: " + server.describe());
    fleet.linkTo(server).setListening(false);
    server.crash();
    fleet.after(
        millis,
        () -> {
          server.restart(nextId);
          fleet.linkTo(server).setListening(true);
          fleet.event("restarted: " + server.describe());
        });
  }

  static void freeze(SoakFleet fleet, ReplicatedServer server, int millis) {
    fleet.event("frozen for " + millis + " ms: " + server.describe());
    server.setFrozen(true);
    fleet.after(millis, () -> server.setFrozen(false));
  }

  static void lapse(SoakFleet fleet, ReplicatedServer server, int millis) {
    fleet.event("not listed for " + millis + " ms: " + server.describe());
    fleet.system().setLapsed(server, true);
    fleet.after(millis, () -> fleet.system().setLapsed(server, false));
  }

  private static void cut(SoakFleet fleet, LinkProxy link, Random random) {
    int directions = 1 + random.nextInt(3);
    boolean cutsTo = (directions & 1) != 0;
    boolean cutsFrom = (directions & 2) != 0;
    link.setCut(LinkProxy.Direction.TO_TARGET, cutsTo);
    link.setCut(LinkProxy.Direction.FROM_TARGET, cutsFrom);
    fleet.after(
        300 + random.nextInt(4_000),
        () -> {
          link.setCut(LinkProxy.Direction.TO_TARGET, false);
          link.setCut(LinkProxy.Direction.FROM_TARGET, false);
        });
  }

  static <T> T choose(List<T> all, Random random) {
    return all.get(random.nextInt(all.size()));
  }

  static ReplicatedServer chooseReplica(ReplicatedGroup group, Random random) {
    ReplicatedServer primary = group.primary();
    return choose(group.servers().stream().filter(s -> s != primary).toList(), random);
  }
}
