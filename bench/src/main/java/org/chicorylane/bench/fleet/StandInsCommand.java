package org.chicorylane.bench.fleet;

import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chicorylane.Settings;
import org.chicorylane.SettingsReader;
import org.chicorylane.SettingsResult;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.internal.command.Command;
import org.chicorylane.internal.command.ExitCode;
import org.chicorylane.internal.command.OptionReader;
import org.chicorylane.standin.platform.PlatformInstance;

/**
 * The {@code standins} command: runs the stand-in platform and the database groups of the example
 * until the process is terminated.
 */
public final class StandInsCommand implements Command {

  private static final String HELP =
      """
        --platform-port N        port of the platform, 7379 by default
        --instance FILE          settings of an instance to list, may be repeated
        --without-declarations   declares nothing
      example: chicorylane standins --instance config/example/instance-1.json
      """;

  private static final int DEFAULT_PLATFORM_PORT = 7379;
  private static final int MAX_PORT = 65_535;

  @Override
  public String name() {
    return "standins";
  }

  @Override
  public String summary() {
    return "run stand-in platform and databases: [--platform-port N] [--instance FILE]...";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("platform-port").hasArg().argName("N").get())
            .addOption(Option.builder().longOpt("instance").hasArgs().argName("FILE").get())
            .addOption(Option.builder().longOpt("without-declarations").get());
    Optional<CommandLine> line = OptionReader.read(options, arguments, err);
    if (line.isEmpty()) {
      return ExitCode.USAGE;
    }
    try {
      return run(line.get(), out, err);
    } catch (IllegalArgumentException e) {
      err.println("chicorylane: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.OK;
    }
  }

  private static ExitCode run(CommandLine line, PrintStream out, PrintStream err)
      throws InterruptedException {
    int port = OptionReader.number(line, "platform-port", DEFAULT_PLATFORM_PORT, 1, MAX_PORT);
    List<PlatformInstance> instances = new ArrayList<>();
    String[] files = line.getOptionValues("instance");
    for (String file : files == null ? new String[0] : files) {
      SettingsResult result = SettingsReader.readFile(Path.of(file));
      if (result instanceof SettingsResult.Invalid invalid) {
        invalid.findings().forEach(f -> err.println(f.toLine()));
        return ExitCode.USAGE;
      }
      instances.add(toPlatformInstance(((SettingsResult.Valid) result).settings()));
    }
    List<JsonObject> documents = ExampleDocuments.read();
    StandInFleet.Builder builder =
        StandInFleet.builder(documents)
            .schema(SessionSchema.STATEMENTS)
            .useDeclaredPorts()
            .platformPort(port);
    if (line.hasOption("without-declarations")) {
      builder.withoutDeclarations();
    }
    try (StandInFleet fleet = builder.start()) {
      instances.forEach(fleet.platform()::register);
      out.println("platform on " + fleet.platformUri());
      fleet.groups().values().forEach(g -> out.println("group " + g.name() + " " + g.servers()));
      new CountDownLatch(1).await();
    }
    return ExitCode.OK;
  }

  private static PlatformInstance toPlatformInstance(Settings settings) {
    return new PlatformInstance(
        settings.instanceId(),
        settings.addresses().relay().getAddress().getHostAddress(),
        settings.addresses().relay().getPort(),
        settings.addresses().membership().getPort(),
        settings.availabilityZone());
  }
}
