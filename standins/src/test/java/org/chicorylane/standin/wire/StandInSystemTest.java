package org.chicorylane.standin.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The ports that the settings of an instance name belong to that instance. */
final class StandInSystemTest {

  @TempDir Path folder;

  private List<Integer> portsOfSettings(StandInSystem system) throws Exception {
    Path file = folder.resolve("settings.json");
    system.writeSettings(file, "i1");
    JsonObject settings = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
    List<Integer> ports = new ArrayList<>();
    for (String name : List.of("clientAddress", "readinessAddress")) {
      String address = settings.get(name).getAsString();
      ports.add(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }
    JsonArray instancePorts = settings.getAsJsonArray("instancePorts");
    instancePorts.forEach(port -> ports.add(port.getAsInt()));
    return ports;
  }

  @Test
  void testPortsOfSettingsAreTakenForOthers() throws Exception {
    try (StandInSystem system = new StandInSystem()) {
      for (int port : portsOfSettings(system)) {
        try (Socket other = new Socket()) {
          InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
          assertThrows(BindException.class, () -> other.bind(address));
        }
      }
    }
  }

  @Test
  void testInstanceCanListenOnPortsOfSettings() throws Exception {
    try (StandInSystem system = new StandInSystem()) {
      for (int port : portsOfSettings(system)) {
        try (ServerSocket listener = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
          assertThat(listener.isBound()).isTrue();
        }
      }
    }
  }
}
