package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.quota.FleetQuota;
import org.jspecify.annotations.Nullable;

/**
 * Asks other instances for tokens of client accounts over the mesh, and encodes the messages.
 *
 * <p>Confined to the instance's thread.
 */
final class QuotaLoans implements FleetQuota.Lenders {

  private final Function<String, PeerLink> links;

  QuotaLoans(Function<String, PeerLink> links) {
    this.links = links;
  }

  @Override
  public void ask(
      String address,
      Map<String, Double> amounts,
      Duration timeout,
      Consumer<@Nullable Map<String, Double>> handler) {
    MeshQuestion.Builder question =
        MeshQuestion.newBuilder().setKind(PeerQuestion.NUMBERS.number(PeerQuestion.QUOTA_GRANT));
    amounts.forEach(
        (account, amount) -> question.addArguments(account).addArguments(Double.toString(amount)));
    links
        .apply(address)
        .ask(
            question,
            timeout,
            (reply, sent) ->
                handler.accept(reply == null ? null : decodeAmounts(reply.getResultsList())));
  }

  /** Returns the reply that tells how many tokens are lent, by account. */
  static MeshReply.Builder encodeReply(Map<String, Double> lent) {
    MeshReply.Builder reply = MeshReply.newBuilder().setYes(true);
    lent.forEach(
        (account, amount) -> reply.addResults(account).addResults(Double.toString(amount)));
    return reply;
  }

  /**
   * Returns the amounts by account.
   *
   * @param values the accounts, each followed by its amount
   * @throws NumberFormatException if an amount is not a number
   */
  static Map<String, Double> decodeAmounts(List<String> values) {
    Map<String, Double> amounts = new HashMap<>();
    for (int i = 0; i + 1 < values.size(); i += 2) {
      amounts.put(values.get(i), Double.parseDouble(values.get(i + 1)));
    }
    return amounts;
  }
}
