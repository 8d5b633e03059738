package org.chicorylane.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.membership.generated.MemberMessage;

/**
 * The membership updates that are piggybacked on outgoing datagrams. It holds at most one update
 * per instance, sends each a limited number of times, and prefers those sent least often.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue {

  private static final class Update {
    private final MemberMessage message;
    private final int bytes;
    private int sent;

    Update(MemberMessage message) {
      this.message = message;
      this.bytes = message.getSerializedSize();
    }

    int sent() {
      return sent;
    }
  }

  private final Map<String, Update> updates = new HashMap<>();

  void add(Member member) {
    updates.put(member.instanceId(), new Update(MemberMessages.toUpdate(member)));
  }

  void remove(String instanceId) {
    updates.remove(instanceId);
  }

  /**
   * Returns the updates for one datagram and counts them as sent.
   *
   * @param maximumBytes the maximum size of the updates in bytes
   * @param transmissions how many times an update is sent before it is removed
   */
  List<MemberMessage> take(int maximumBytes, int transmissions) {
    if (updates.isEmpty()) {
      return List.of();
    }
    List<Update> leastSentFirst = new ArrayList<>(updates.values());
    leastSentFirst.sort(Comparator.comparingInt(Update::sent));
    List<MemberMessage> taken = new ArrayList<>();
    int remainingBytes = maximumBytes;
    for (Update update : leastSentFirst) {
      if (update.bytes > remainingBytes) {
        break;
      }
      remainingBytes -= update.bytes;
      taken.add(update.message);
      update.sent++;
      if (update.sent >= transmissions) {
        updates.remove(update.message.getInstance());
      }
    }
    return taken;
  }
}
