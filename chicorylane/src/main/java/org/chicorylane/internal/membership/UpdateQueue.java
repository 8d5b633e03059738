package org.chicorylane.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.membership.generated.MemberMessage;

/**
 * Updates that ride on datagrams: at most one per instance, each a limited number of times, those
 * that rode least often first.
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
   * Takes the updates for one datagram.
   *
   * @param maximumBytes the room for them
   * @param transmissions how often an update may ride before it is dropped
   */
  List<MemberMessage> take(int maximumBytes, int transmissions) {
    if (updates.isEmpty()) {
      return List.of();
    }
    List<Update> order = new ArrayList<>(updates.values());
    order.sort(Comparator.comparingInt(Update::sent));
    List<MemberMessage> taken = new ArrayList<>();
    int room = maximumBytes;
    for (Update update : order) {
      if (update.bytes > room) {
        break;
      }
      room -= update.bytes;
      taken.add(update.message);
      update.sent++;
      if (update.sent >= transmissions) {
        updates.remove(update.message.getInstance());
      }
    }
    return taken;
  }
}
