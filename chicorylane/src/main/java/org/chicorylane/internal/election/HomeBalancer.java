package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Decides when an instance that is the home of several groups hands one to an instance with fewer,
 * so that homes that a fault drove together spread again.
 *
 * <p>A group moves only if the instance stays at least as loaded without it as the other becomes
 * with it; so two instances that see the same homes never pass a group back and forth.
 *
 * <p>One for all groups of an instance. Confined to the instance's thread.
 */
public final class HomeBalancer {

  /** Pause between two looks; a handover is in everyone's view by then. */
  private static final Duration PAUSE = Duration.ofSeconds(3);

  private final String self;
  private boolean begun;
  private long lastNanos;

  /** Creates a balance for the instance {@code self}. */
  public HomeBalancer(String self) {
    this.self = self;
  }

  /**
   * Returns whether it is time to look for a receiver again; most looks find none, and ranking all
   * instances costs processor time.
   */
  boolean isDue(long nowNanos) {
    return !begun || nowNanos - lastNanos >= PAUSE.toNanos();
  }

  /**
   * Returns the instance to which the group should go now, if any; the next look is due after the
   * pause.
   *
   * @param ranked all instances, those first that should have the group
   * @param otherHomes tells of how many other groups an instance, by its name, is the home
   */
  Optional<PeerInstance> receiver(
      List<PeerInstance> ranked, ToIntFunction<String> otherHomes, long nowNanos) {
    begun = true;
    lastNanos = nowNanos;
    Optional<PeerInstance> own = ranked.stream().filter(p -> p.name().equals(self)).findFirst();
    Optional<PeerInstance> other = ranked.stream().filter(p -> !p.name().equals(self)).findFirst();
    if (own.isEmpty() || other.isEmpty()) {
      return Optional.empty();
    }
    double left = load(otherHomes.applyAsInt(self), own.get());
    double reached = load(otherHomes.applyAsInt(other.get().name()) + 1, other.get());
    return left >= reached ? other : Optional.empty();
  }

  private static double load(int homes, PeerInstance instance) {
    return (double) homes / instance.weight();
  }
}
