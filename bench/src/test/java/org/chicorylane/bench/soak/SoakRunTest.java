package org.chicorylane.bench.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Instance processes keep the rules in two short soaks with fixed seeds. */
final class SoakRunTest {

  private static final int FAULTS_SEED = 3;
  private static final int FAULTS_SECONDS = 20;
  private static final int PLANNED_WORK_SEED = 4;
  private static final int PLANNED_WORK_SECONDS = 12;
  private static final int INSTANCES = 3;
  private static final int GROUPS = 1;
  private static final int SESSIONS = 3;

  private static SoakOptions options(int seed, int seconds) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(SoakOptions.JAVA_OPTIONS);
    command.add("-cp");
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add("org.chicorylane.platform.Main");
    command.add("serve");
    Path logs = Path.of("target", "soak", "test-seed-" + seed).toAbsolutePath();
    return new SoakOptions(seed, seconds, INSTANCES, GROUPS, SESSIONS, Set.of(), command, logs);
  }

  private static void runAndCheck(SoakOptions options) throws Exception {
    SoakRun.Result result = new SoakRun(options).run();
    assertWithMessage("logs in %s; %s", options.logs(), String.join("\n", result.timeline()))
        .that(result.violations())
        .isEmpty();
    assertThat(result.acknowledged()).isAtLeast(1);
  }

  @Test
  void testNoRuleIsBrokenUnderFaults() throws Exception {
    runAndCheck(options(FAULTS_SEED, FAULTS_SECONDS));
  }

  @Test
  void testNoRuleIsBrokenUnderPlannedWork() throws Exception {
    SoakOptions options = options(PLANNED_WORK_SEED, PLANNED_WORK_SECONDS);
    assertThat(options.isPlannedWorkOnly()).isTrue();
    runAndCheck(options);
  }
}
