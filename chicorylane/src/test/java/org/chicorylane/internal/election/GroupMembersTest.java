package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.chicorylane.internal.topology.BackendServer;
import org.junit.jupiter.api.Test;

/**
 * Tests which servers count as members of a group. A server that is forgotten while it runs may
 * hold the only copy of an acknowledged commit.
 */
final class GroupMembersTest {

  private final GroupMembers members = new GroupMembers();

  private static BackendServer server(String id, String address, boolean draining) {
    return new BackendServer(id, "plans", address, "z", 3, draining, false, 1);
  }

  // Incident 23: a replica whose entry had lapsed was left out of the choice.
  @Test
  void testServerWhoseEntryLapsedIsMissing() {
    members.update(List.of(server("a", "a:1", false), server("b", "b:1", false)), 1);
    members.update(List.of(server("a", "a:1", false)), 2);
    assertThat(members.missing(3)).containsExactly("b");
    assertThat(members.all(3)).containsExactly("a", "a:1", "b", "b:1");
  }

  @Test
  void testServerWhoseEntryReturnedIsNotMissing() {
    members.update(List.of(server("a", "a:1", false)), 1);
    members.update(List.of(), 2);
    members.update(List.of(server("a", "a:1", false)), 3);
    assertThat(members.missing(4)).isEmpty();
  }

  @Test
  void testRecordedServerWithoutEntryIsMissing() {
    members.update(List.of(server("a", "a:1", false)), 1);
    members.add(Map.of("a", "a:1", "b", "b:1"), 2);
    assertThat(members.missing(3)).containsExactly("b");
  }

  @Test
  void testMissingServerIsForgottenAfterLimit() {
    members.add(Map.of("b", "b:1"), 0);
    assertThat(members.missing(GroupMembers.MISSING_LIMIT.toNanos() + 1)).isEmpty();
  }

  @Test
  void testServerIsForgottenWhenAnotherOneHasItsAddress() {
    members.update(List.of(server("b", "b:1", true)), 1);
    members.update(List.of(), 2);
    members.update(List.of(server("c", "b:1", false)), 3);
    assertThat(members.missing(4)).isEmpty();
  }

  @Test
  void testRecordedServerIsForgottenWhenAnotherOneHasItsAddress() {
    members.update(List.of(server("c", "b:1", false)), 1);
    members.add(Map.of("b", "b:1"), 2);
    assertThat(members.missing(3)).isEmpty();
  }

  @Test
  void testServerWithoutEntryIsNotForgottenForServersAtOtherAddresses() {
    members.update(List.of(server("b", "b:1", false)), 1);
    members.update(List.of(server("c", "c:1", false)), 2);
    assertThat(members.missing(3)).containsExactly("b");
  }
}
