package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.chicorylane.internal.outcome.NotRunReason;
import org.junit.jupiter.api.Test;

/**
 * Checks that the troubleshooting page has exactly one section per type of problem. The {@code
 * help} link of an error response is broken if its section is missing or misnamed.
 */
final class TroubleshootingPageTest {

  @Test
  void testPageHasOneSectionPerProblemType() throws Exception {
    List<String> anchors;
    try (Stream<String> lines = Files.lines(Path.of("../docs/TROUBLESHOOTING.md"))) {
      anchors = lines.filter(l -> l.startsWith("## ")).map(l -> l.substring(3)).toList();
    }

    List<String> problems =
        Stream.concat(Stream.of(ProblemType.values()), Stream.of(NotRunReason.values()))
            .map(ProblemType::toKebabCase)
            .toList();

    assertThat(anchors).containsExactlyElementsIn(problems);
  }
}
