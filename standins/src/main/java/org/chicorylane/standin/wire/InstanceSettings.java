package org.chicorylane.standin.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;

/** The settings of an instance whose ports are reserved on the loopback interface. */
public final class InstanceSettings {

  private static final int STOP_SECONDS = 4;

  /** The time in milliseconds in which a draining server takes new work. */
  public static final int DRAIN_MILLIS = 3_000;

  private final String instance;
  private final String availabilityZone;
  private final String storeAddress;
  private final String promotionAddress;
  private final int clientPort;
  private final int readinessPort;
  private final int instancePort;
  private final int metricsPort;

  /**
   * Reserves the ports of an instance.
   *
   * @param storeAddress host and port of the metadata store
   * @param promotionAddress host and port to which calls for promotions are sent
   */
  public InstanceSettings(
      String instance,
      String availabilityZone,
      LoopbackPorts ports,
      String storeAddress,
      String promotionAddress)
      throws IOException {
    this.instance = instance;
    this.availabilityZone = availabilityZone;
    this.storeAddress = storeAddress;
    this.promotionAddress = promotionAddress;
    this.clientPort = ports.reserve();
    this.readinessPort = ports.reserve();
    this.instancePort = ports.reserve();
    this.metricsPort = ports.reserve();
  }

  /** Returns host and port for the instance's clients. */
  public String clientAddress() {
    return "127.0.0.1:" + clientPort;
  }

  /** Returns host and port of the instance's readiness page. */
  public String readinessAddress() {
    return "127.0.0.1:" + readinessPort;
  }

  /** Returns the content of the settings file. */
  public String toJson() {
    JsonArray instancePorts = new JsonArray();
    instancePorts.add(instancePort);
    instancePorts.add(metricsPort);
    JsonObject settings = new JsonObject();
    settings.addProperty("instance", instance);
    settings.addProperty("availabilityZone", availabilityZone);
    settings.addProperty("address", "127.0.0.1");
    settings.addProperty("clientAddress", clientAddress());
    settings.addProperty("readinessAddress", readinessAddress());
    settings.add("instancePorts", instancePorts);
    settings.addProperty("storeAddress", storeAddress);
    settings.addProperty("promotionAddress", promotionAddress);
    settings.addProperty("processorShare", 1);
    settings.addProperty("processorSpeed", 1);
    settings.addProperty("linkMegabits", 1000);
    settings.addProperty("stopSeconds", STOP_SECONDS);
    settings.addProperty("drainMillis", DRAIN_MILLIS);
    return settings.toString();
  }
}
