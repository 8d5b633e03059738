package org.chicorylane.internal.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Injects random faults into a {@link FailoverModel}, alone and in combination, and ends them. */
final class FaultPlan {
  private final FailoverModel model;
  private final Random random;

  FaultPlan(FailoverModel model) {
    this.model = model;
    this.random = model.random;
  }

  /** Runs the model with faults for {@code millis}. */
  void runFor(long millis) {
    long end = model.now() + millis * FailoverModel.MILLI;
    while (model.now() < end) {
      injectFault();
      model.runFor(random.nextInt(random.nextInt(3) == 0 ? 60 : 1_500));
      if (random.nextInt(3) == 0) {
        rebuild();
      }
    }
  }

  /**
   * Ends every lasting fault of servers, links and the key-value service, and resumes every
   * instance.
   */
  void heal() {
    model.note("HEAL");
    model.cuts.clear();
    model.storeUp = true;
    model.lossShare = 0;
    model.declareLeaving(Set.of());
    for (ModelServer server : model.servers.values()) {
      server.alive = true;
      server.frozen = false;
      server.lagMicros = 0;
    }
    List.copyOf(model.instances).forEach(ModelInstance::resume);
    model.prefer(model.instances.get(0).name);
  }

  private void injectFault() {
    ModelServer server = pickServer();
    ModelInstance instance = pickInstance();
    long length = 300L + random.nextInt(random.nextBoolean() ? 1_000 : 7_000);
    int kind = random.nextInt(15);
    model.note("FAULT " + kind + " " + server.name + " " + instance.name + " for " + length);
    switch (kind) {
      case 0, 1 -> during(length, server::kill, () -> server.alive = true);
      case 2 -> during(length, () -> server.frozen = true, () -> server.frozen = false);
      case 3, 4 -> during(length, () -> instance.paused = true, instance::resume);
      case 5 -> cutLink(length, instance.name, server.name);
      case 6 -> cutLink(length, server.name, pick(new ArrayList<>(model.servers.values())).name);
      case 7 -> isolate(length, List.of(server.name, instance.name));
      case 8 -> during(length, () -> model.storeUp = false, () -> model.storeUp = true);
      case 9 -> during(length, () -> model.lossShare = 0.02, () -> model.lossShare = 0);
      case 10 ->
          during(
              length, () -> server.lagMicros = random.nextInt(300_000), () -> server.lagMicros = 0);
      case 11 -> restartInstance(instance);
      case 12 -> model.prefer(instance.name);
      case 13 -> server.sessions.forEach(s -> s.unresponsive = s.owner == instance);
      default ->
          during(
              length,
              () -> model.declareLeaving(Set.of(server.name)),
              () -> model.declareLeaving(Set.of()));
    }
  }

  private void during(long millis, Runnable begin, Runnable end) {
    begin.run();
    model.after(millis * FailoverModel.MILLI, end);
  }

  private void cutLink(long millis, String one, String other) {
    if (!one.equals(other)) {
      Set<String> link = Set.of(one, other);
      during(millis, () -> model.cuts.add(link), () -> model.cuts.remove(link));
    }
  }

  private void isolate(long millis, List<String> isolated) {
    List<String> names = new ArrayList<>(model.servers.keySet());
    model.instances.forEach(i -> names.add(i.name));
    for (String name : isolated) {
      names.stream().filter(n -> !isolated.contains(n)).forEach(n -> cutLink(millis, name, n));
    }
  }

  private void restartInstance(ModelInstance old) {
    old.alive = false;
    model.instances.remove(old);
    for (ModelServer server : model.servers.values()) {
      List.copyOf(server.sessions).stream().filter(s -> s.owner == old).forEach(server::end);
    }
    ModelInstance replacement =
        new ModelInstance(old.name.split("-", 2)[0] + "-" + model.now(), model, random.nextLong());
    model.start(replacement);
    model.prefer(pick(model.instances).name);
  }

  /** Rebuilds servers that cannot follow the current primary, as an operator would. */
  void rebuild() {
    if (model.stored == null) {
      return;
    }
    GroupRecord record = model.stored.record();
    ModelServer primary = model.servers.get(record.primary());
    if (!primary.isRunning() || primary.inRecovery || primary.timeline != record.term()) {
      return;
    }
    for (ModelServer server : model.servers.values()) {
      boolean isFit = server.inRecovery && server.isPrefixOf(primary);
      if (server != primary && server.isRunning() && !isFit) {
        model.note("REBUILD " + server.name);
        server.kill();
        server.alive = true;
        server.log.clear();
        server.log.addAll(primary.log);
        server.timeline = primary.timeline;
        server.inRecovery = true;
        server.upstream = null;
      }
    }
  }

  /** Returns the primary with probability one half, otherwise a random server. */
  private ModelServer pickServer() {
    if (model.stored != null && random.nextBoolean()) {
      return model.servers.get(model.stored.record().primary());
    }
    return pick(new ArrayList<>(model.servers.values()));
  }

  /** Returns the home with probability one half, otherwise a random instance. */
  private ModelInstance pickInstance() {
    return model.instances.stream()
        .filter(i -> i.machine.isServingWrites() && random.nextBoolean())
        .findFirst()
        .orElseGet(() -> pick(model.instances));
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
