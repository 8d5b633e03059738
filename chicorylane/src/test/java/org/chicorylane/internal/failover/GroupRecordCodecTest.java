package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.position.TermHistory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against records that change when they are encoded and decoded, and against malformed
 * stored records that are accepted or reported without their path.
 */
final class GroupRecordCodecTest {
  private static final GroupRecord RECORD =
      new GroupRecord(
          2, "s1", "i0-ab-3", TermHistory.first(1).next(2, 5_000), List.of("s0", "s1", "s2"));

  @Test
  void testEncodedRecordDecodesToSameRecord() {
    GroupRecordCodec.Result result =
        GroupRecordCodec.decode("groups/ledger", GroupRecordCodec.encode(RECORD));
    assertThat(result).isInstanceOf(GroupRecordCodec.Decoded.class);
    GroupRecord decoded = ((GroupRecordCodec.Decoded) result).record();
    assertThat(decoded.toString()).isEqualTo(RECORD.toString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nonsense | $",
        "[] | $",
        "{\"term\":\"x\"} | $.term",
        "{\"term\":0} | $.term",
        "{\"term\":1.5} | $.term",
        "{\"term\":1e99999999999} | $.term",
        "{\"primary\":\"\"} | $.primary",
        "{\"promoter\":7} | $.promoter",
        "{\"history\":[]} | $.history",
        "{\"history\":[{\"term\":2,\"startOffset\":0},{\"term\":2,\"startOffset\":1}]} | $.history",
        "{\"history\":[{\"term\":1,\"startOffset\":-1}]} | $.history[0].startOffset",
        "{\"voters\":[\"s0\",3]} | $.voters[1]"
      })
  void testReportsFindingAtItsPath(String json, String path) {
    GroupRecordCodec.Result result = GroupRecordCodec.decode("groups/ledger", json);
    assertThat(result).isInstanceOf(GroupRecordCodec.Malformed.class);
    assertThat(
            ((GroupRecordCodec.Malformed) result).findings().stream().map(Finding::path).toList())
        .contains(path);
  }

  @Test
  void testReportsAllFindingsTogether() {
    GroupRecordCodec.Result result = GroupRecordCodec.decode("groups/ledger", "{\"term\":1}");
    assertThat(((GroupRecordCodec.Malformed) result).findings()).hasSize(4);
  }

  @Test
  void testReportsPrimaryThatIsNotVoter() {
    String json =
        GroupRecordCodec.encode(RECORD).replace("\"primary\":\"s1\"", "\"primary\":\"s9\"");
    GroupRecordCodec.Result result = GroupRecordCodec.decode("groups/ledger", json);
    assertThat(((GroupRecordCodec.Malformed) result).findings().get(0).message())
        .contains("\"s9\"");
  }
}
