package org.chicorylane.internal.operator;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against problem types that link to a missing section of docs/TROUBLESHOOTING.md. */
final class OperatorProblemTest {
  private static final String HEADING = "### operator-";

  @Test
  void testTroubleshootingPageHasOneSectionForEachProblem() throws Exception {
    List<String> anchors;
    try (Stream<String> lines = Files.lines(Path.of("../docs/TROUBLESHOOTING.md"))) {
      anchors = lines.filter(l -> l.startsWith(HEADING)).map(l -> l.substring(4)).toList();
    }

    assertThat(anchors)
        .containsExactlyElementsIn(
            Arrays.stream(OperatorProblem.values()).map(OperatorProblem::anchor).toList());
  }
}
