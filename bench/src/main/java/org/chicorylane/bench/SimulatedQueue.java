package org.chicorylane.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.admission.AdmissionAction;
import org.chicorylane.internal.admission.AdmissionQueue;
import org.chicorylane.internal.admission.AdmissionSettings;
import org.chicorylane.internal.admission.ConcurrencyPolicy;
import org.chicorylane.internal.admission.ServiceOutcome;
import org.chicorylane.internal.admission.Ticket;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.outcome.NotRunReason;

/** A queue before three servers of three slots, as a simulation drives it. Not thread-safe. */
interface SimulatedQueue {
  /** The server that runs what needs the primary. */
  String PRIMARY = "a";

  /** Three servers, the primary last as reads prefer replicas. */
  List<String> READ_ORDER = List.of("b", "c", PRIMARY);

  /** Slots of each server. */
  int SLOTS = 3;

  List<AdmissionAction> offered(Ticket ticket, Instant now);

  List<AdmissionAction> freed(Ticket ticket, Duration service, ServiceOutcome outcome, Instant now);

  List<AdmissionAction> tick(Instant now);

  /** Returns the product's queue. */
  static SimulatedQueue core(ConcurrencyPolicy policy, boolean reserve, long seed) {
    return new Core(policy, reserve, seed);
  }

  /** The product's queue. */
  final class Core implements SimulatedQueue {
    private final AdmissionQueue queue;
    private int spread;

    Core(ConcurrencyPolicy policy, boolean reserve, long seed) {
      int slot = reserve ? 1 : 0;
      List<RequestClass> classes =
          List.of(
              new RequestClass("check-in", 8, slot, false, true),
              new RequestClass("upload", 4, slot, false, true),
              new RequestClass("browse", 1, 0, true, false));
      queue =
          new AdmissionQueue(
              AdmissionSettings.DEFAULT, policy, classes, this::eligible, new Random(seed));
      READ_ORDER.forEach(s -> queue.setServerSlots(s, SLOTS, Instant.EPOCH));
      queue.setPrimary(PRIMARY, Instant.EPOCH);
    }

    private List<String> eligible(Ticket ticket, Instant now) {
      if (ticket.needsPrimary()) {
        return List.of(PRIMARY);
      }
      spread = 1 - spread;
      return spread == 0 ? READ_ORDER : List.of("c", "b", PRIMARY);
    }

    @Override
    public List<AdmissionAction> offered(Ticket ticket, Instant now) {
      return queue.offer(ticket, now);
    }

    @Override
    public List<AdmissionAction> freed(
        Ticket ticket, Duration service, ServiceOutcome outcome, Instant now) {
      return queue.releaseSlot(ticket.id(), service, outcome, now);
    }

    @Override
    public List<AdmissionAction> tick(Instant now) {
      return queue.tick(now);
    }
  }

  /** The baseline: first come, first served; a ticket is dropped when its deadline passes. */
  final class Fifo implements SimulatedQueue {
    private static final int MAX_QUEUED = 10_000;

    private final Map<String, Ticket> waiting = new LinkedHashMap<>();
    private final Map<String, Integer> free = new HashMap<>();
    private final Map<String, String> running = new HashMap<>();

    Fifo() {
      READ_ORDER.forEach(s -> free.put(s, SLOTS));
    }

    @Override
    public List<AdmissionAction> offered(Ticket ticket, Instant now) {
      List<AdmissionAction> actions = new ArrayList<>();
      if (waiting.size() >= MAX_QUEUED) {
        actions.add(refuse(ticket));
      } else {
        waiting.put(ticket.id(), ticket);
      }
      fill(actions, now);
      return actions;
    }

    @Override
    public List<AdmissionAction> freed(
        Ticket ticket, Duration service, ServiceOutcome outcome, Instant now) {
      String server = running.remove(ticket.id());
      free.merge(server, 1, Integer::sum);
      List<AdmissionAction> actions = new ArrayList<>();
      fill(actions, now);
      return actions;
    }

    @Override
    public List<AdmissionAction> tick(Instant now) {
      List<AdmissionAction> actions = new ArrayList<>();
      for (Iterator<Ticket> i = waiting.values().iterator(); i.hasNext(); ) {
        Ticket t = i.next();
        if (t.deadline().isBefore(now)) {
          i.remove();
          actions.add(refuse(t));
        }
      }
      return actions;
    }

    private void fill(List<AdmissionAction> actions, Instant now) {
      for (Iterator<Ticket> i = waiting.values().iterator(); i.hasNext() && hasFree(); ) {
        Ticket t = i.next();
        List<String> order = t.needsPrimary() ? List.of(PRIMARY) : READ_ORDER;
        if (t.deadline().isBefore(now)) {
          i.remove();
          actions.add(refuse(t));
          continue;
        }
        for (String server : order) {
          if (free.getOrDefault(server, 0) > 0) {
            i.remove();
            free.merge(server, -1, Integer::sum);
            running.put(t.id(), server);
            actions.add(new AdmissionAction.Dispatch(t, server));
            break;
          }
        }
      }
    }

    private boolean hasFree() {
      return free.values().stream().anyMatch(n -> n > 0);
    }

    private static AdmissionAction refuse(Ticket ticket) {
      return new AdmissionAction.Refuse(ticket, NotRunReason.OVERLOADED, Duration.ofSeconds(1));
    }
  }
}
