package org.chicorylane.internal.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.chicorylane.internal.admission.AdmissionAction.Dispatch;
import org.chicorylane.internal.admission.AdmissionAction.Refuse;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.outcome.NotRunReason;
import org.junit.jupiter.api.Test;

/**
 * Tests admission control with deterministic time: refusals, reservations, fair queueing, slow
 * start and the retry budget. Random runs guard against lost or repeated tickets and exceeded
 * slots, which can occur when arrivals, releases and changes of servers interleave.
 */
final class AdmissionQueueTest {
  private static final Instant START = Instant.parse("2026-12-03T08:00:00Z");
  private static final RequestClass CHECK_IN = new RequestClass("check-in", 8, 1, false, true);
  private static final RequestClass BROWSE = new RequestClass("browse", 1, 0, true, false);
  private static final List<RequestClass> CLASSES = List.of(CHECK_IN, BROWSE);
  private static final Duration SERVICE = Duration.ofMillis(5);

  private final AdmissionQueue queue = newQueue(new Random(1));
  private int nextId;

  @Test
  void testRefusesAtOnceWhenPredictedWaitPassesDeadline() {
    warmUp(queue, "p", 3);
    List<AdmissionAction> actions = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      actions.addAll(queue.offer(browse(START.plusMillis(50)), START));
    }

    assertThat(count(actions, Dispatch.class)).isEqualTo(2);
    List<Refuse> refused = refusals(actions);
    assertThat(refused.size()).isAtLeast(15);
    assertThat(refused.stream().map(Refuse::reason).distinct())
        .containsExactly(NotRunReason.OVERLOADED);
    assertThat(refused.stream().map(Refuse::retryAfter).distinct().count())
        .isEqualTo(refused.size());
  }

  @Test
  void testKeepsReservedSlotForItsClass() {
    warmUp(queue, "p", 3);
    for (int i = 0; i < 5; i++) {
      queue.offer(browse(START.plusSeconds(1)), START);
    }

    assertThat(queue.inUse("p")).isEqualTo(2);
    assertThat(queue.offer(checkIn(START.plusSeconds(1)), START).get(0))
        .isInstanceOf(Dispatch.class);
  }

  @Test
  void testSharesFreedSlotsInProportionToWeights() {
    RequestClass heavy = new RequestClass("heavy", 3, 0, true, false);
    queue.updateClasses(List.of(heavy, BROWSE), START);
    warmUp(queue, "p", 1);
    List<Ticket> running = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      for (String name : List.of("heavy", "browse")) {
        Ticket t = new Ticket("t" + nextId++, name, false, false, START.plusSeconds(60));
        collectTickets(queue.offer(t, START), running);
      }
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      Ticket t = running.remove(0);
      served.merge(t.requestClass(), 1, Integer::sum);
      collectTickets(queue.releaseSlot(t.id(), SERVICE, ServiceOutcome.OK, START), running);
    }

    assertThat(served.get("heavy")).isWithin(1).of(30);
  }

  @Test
  void testRefusesQueuedTicketOnceItsDeadlineCannotBeMet() {
    warmUp(queue, "p", 1);
    queue.offer(browse(START.plusSeconds(1)), START);
    queue.offer(browse(START.plusMillis(30)), START);

    Instant tick = queue.nextTick().orElseThrow();
    assertThat(refusals(queue.tick(tick))).isEmpty();
    assertThat(refusals(queue.tick(tick.plusMillis(1))).get(0).reason())
        .isEqualTo(NotRunReason.DEADLINE_TOO_CLOSE);
    assertThat(queue.waiting()).isEqualTo(0);
  }

  @Test
  void testRefusalReasonNamesTheCause() {
    warmUp(queue, "p", 3);
    Ticket late = checkIn(START.plusMillis(1));
    assertThat(refusals(queue.offer(late, START)).get(0).reason())
        .isEqualTo(NotRunReason.DEADLINE_TOO_CLOSE);

    queue.clearPrimary(null, START);
    assertThat(refusals(queue.offer(checkIn(START.plusSeconds(9)), START)).get(0).reason())
        .isEqualTo(NotRunReason.NO_PRIMARY);

    queue.clearPrimary(START.plusSeconds(1), START);
    assertThat(queue.offer(checkIn(START.plusSeconds(9)), START)).isEmpty();
    assertThat(refusals(queue.offer(checkIn(START.plusMillis(500)), START)).get(0).reason())
        .isEqualTo(NotRunReason.NO_PRIMARY);
    assertThat(queue.setPrimary("p", START.plusMillis(900))).hasSize(1);

    queue.drain(START);
    assertThat(refusals(queue.offer(browse(START.plusSeconds(9)), START)).get(0).reason())
        .isEqualTo(NotRunReason.SHUTTING_DOWN);
  }

  @Test
  void testReturningServerStartsWithOneSlot() {
    queue.setServerSlots("p", 8, START);
    queue.setPrimary("p", START);

    assertThat(queue.limit("p")).isEqualTo(1);
    warmUp(queue, "p", 8);
    assertThat(queue.limit("p")).isEqualTo(8);
    queue.setServerSlots("p", 0, START);
    queue.setServerSlots("p", 8, START);
    assertThat(queue.limit("p")).isEqualTo(1);
  }

  @Test
  void testLimitsRetriesToShareOfSuccesses() {
    warmUp(queue, "p", 3);
    int taken = 0;
    for (int i = 0; i < 200; i++) {
      Ticket t = new Ticket("r" + i, "browse", false, true, START.plusSeconds(1));
      for (AdmissionAction a : queue.offer(t, START)) {
        if (a instanceof Dispatch) {
          taken++;
          queue.releaseSlot(t.id(), SERVICE, ServiceOutcome.ERROR, START);
        }
      }
    }

    assertThat(taken).isEqualTo(10);
  }

  @Test
  void testRandomRunsEndEveryTicketOnceAndRespectSlots() {
    for (long seed = 1; seed <= 60; seed++) {
      new RandomRun(seed).run();
    }
  }

  private static AdmissionQueue newQueue(Random random) {
    return new AdmissionQueue(
        AdmissionSettings.DEFAULT,
        ConcurrencyPolicy.FIXED,
        CLASSES,
        (t, now) -> t.needsPrimary() ? List.of("p") : List.of("r", "p"),
        random);
  }

  private void warmUp(AdmissionQueue q, String server, int slots) {
    q.setServerSlots(server, slots, START);
    q.setPrimary(server, START);
    while (q.limit(server) < slots) {
      Ticket t = new Ticket("w" + nextId++, "browse", false, false, START.plusSeconds(9));
      q.offer(t, START);
      q.releaseSlot(t.id(), SERVICE, ServiceOutcome.OK, START);
    }
  }

  private Ticket browse(Instant deadline) {
    return new Ticket("b" + nextId++, "browse", false, false, deadline);
  }

  private Ticket checkIn(Instant deadline) {
    return new Ticket("c" + nextId++, "check-in", true, false, deadline);
  }

  private static void collectTickets(List<AdmissionAction> actions, List<Ticket> running) {
    actions.forEach(a -> running.add(a.ticket()));
  }

  private static long count(List<AdmissionAction> actions, Class<? extends AdmissionAction> type) {
    return actions.stream().filter(type::isInstance).count();
  }

  private static List<Refuse> refusals(List<AdmissionAction> actions) {
    return actions.stream().filter(Refuse.class::isInstance).map(Refuse.class::cast).toList();
  }

  /** Sends random events to a queue and counts independently which requests run on which server. */
  private static final class RandomRun {
    private static final List<String> SERVERS = List.of("p", "r");

    private final Random random;
    private final AdmissionQueue queue;
    private final String label;
    private final Map<String, String> running = new HashMap<>();
    private final Map<String, Integer> slots = new HashMap<>();
    private final Set<String> offered = new HashSet<>();
    private final Set<String> ended = new HashSet<>();
    private Instant now = START;

    RandomRun(long seed) {
      random = new Random(seed);
      queue = newQueue(new Random(seed + 1));
      label = "seed " + seed;
    }

    void run() {
      for (int i = 0; i < 2_000; i++) {
        now = now.plusNanos(random.nextInt(4_000_000));
        perform(event(i));
      }
      perform(queue.drain(now));
      assertWithMessage(label).that(ended).isEqualTo(offered);
      assertWithMessage(label).that(queue.waiting()).isEqualTo(0);
    }

    private List<AdmissionAction> event(int i) {
      int dice = random.nextInt(100);
      if (dice < 50) {
        boolean write = random.nextInt(4) == 0;
        Instant deadline = now.plusMillis(random.nextInt(200));
        String id = "t" + i;
        offered.add(id);
        String name = write ? "check-in" : "browse";
        return queue.offer(new Ticket(id, name, write, random.nextInt(9) == 0, deadline), now);
      }
      if (dice < 90 && !running.isEmpty()) {
        String id = new TreeSet<>(running.keySet()).first();
        running.remove(id);
        ServiceOutcome outcome = List.of(ServiceOutcome.values()).get(random.nextInt(3));
        return queue.releaseSlot(id, Duration.ofMillis(1 + random.nextInt(9)), outcome, now);
      }
      if (dice < 94) {
        String server = SERVERS.get(random.nextInt(2));
        slots.put(server, random.nextInt(4));
        return queue.setServerSlots(server, slots.get(server), now);
      }
      if (dice < 96) {
        Instant expected = random.nextBoolean() ? now.plusMillis(random.nextInt(100)) : null;
        return queue.clearPrimary(expected, now);
      }
      return dice < 98 ? queue.setPrimary("p", now) : queue.tick(now);
    }

    private void perform(List<AdmissionAction> actions) {
      for (AdmissionAction a : actions) {
        assertWithMessage(label).that(offered).contains(a.ticket().id());
        assertWithMessage(label).that(ended.add(a.ticket().id())).isTrue();
        if (a instanceof Dispatch d) {
          running.put(d.ticket().id(), d.server());
          long held = running.values().stream().filter(d.server()::equals).count();
          assertWithMessage(label).that(held).isAtMost(slots.getOrDefault(d.server(), 0));
          assertWithMessage(label).that(d.ticket().deadline()).isAtLeast(now);
        }
      }
    }
  }
}
