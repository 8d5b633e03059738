package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Decides when a home hands a group over to a less loaded instance. This restores the balance after
 * a fault has moved many homes to one instance, or to small ones.
 *
 * <p>A group moves only if the load that remains on this instance is at least the load that the
 * receiver will have with the group, or if the receiver will have at most half of the load that
 * this instance has with it. Two instances that see the same homes therefore never move a group
 * back and forth.
 *
 * <p>All groups of an instance share one balancer. Confined to the instance's thread.
 */
public final class HomeBalancer {

  /** Interval between checks; long enough for all instances to learn of the last handover. */
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(3);

  /** A group moves to a larger instance if that one's load is smaller by this factor. */
  private static final double LARGER_INSTANCE_FACTOR = 2;

  private final String self;
  private boolean hasChecked;
  private long lastCheckNanos;

  /** Creates a balancer for the instance {@code self}. */
  public HomeBalancer(String self) {
    this.self = self;
  }

  /**
   * Returns whether the next check is due. Checks are spaced out because most find no receiver and
   * ranking all instances costs processor time.
   */
  boolean isDue(long nowNanos) {
    return !hasChecked || nowNanos - lastCheckNanos >= CHECK_INTERVAL.toNanos();
  }

  /**
   * Returns the instance that should receive the group now, if any. The next check is due after
   * {@link #CHECK_INTERVAL}.
   *
   * @param ranked all instances, best candidate for the group first
   * @param otherHomes returns the number of other groups whose home is the named instance
   */
  Optional<PeerInstance> chooseReceiver(
      List<PeerInstance> ranked, ToIntFunction<String> otherHomes, long nowNanos) {
    hasChecked = true;
    lastCheckNanos = nowNanos;
    Optional<PeerInstance> own = ranked.stream().filter(p -> p.name().equals(self)).findFirst();
    Optional<PeerInstance> other = ranked.stream().filter(p -> !p.name().equals(self)).findFirst();
    if (own.isEmpty() || other.isEmpty()) {
      return Optional.empty();
    }
    int ownOtherHomes = otherHomes.applyAsInt(self);
    double receiverLoad = load(otherHomes.applyAsInt(other.get().name()) + 1, other.get());
    boolean isBalancing = load(ownOtherHomes, own.get()) >= receiverLoad;
    boolean isMuchLarger =
        load(ownOtherHomes + 1, own.get()) >= LARGER_INSTANCE_FACTOR * receiverLoad;
    return isBalancing || isMuchLarger ? other : Optional.empty();
  }

  private static double load(int homes, PeerInstance instance) {
    return (double) homes / instance.weight();
  }
}
