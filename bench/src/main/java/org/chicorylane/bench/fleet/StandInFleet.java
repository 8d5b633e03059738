package org.chicorylane.bench.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.chicorylane.internal.dissemination.DeclarationKeys;
import org.chicorylane.internal.platform.EtcdKeyValueStore;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.platform.StandInPlatform;

/**
 * A stand-in platform and one stand-in database group for each declared group.
 *
 * <pre>{@code
 * try (StandInFleet fleet = StandInFleet.builder(documents).schema(sql).start()) {
 *   connectTo(fleet.platformUri());
 * }
 * }</pre>
 *
 * <p>Unless the builder excludes it, the documents are written to the platform's key-value service
 * in the same way as declarations of operators. Thread-safe.
 */
public final class StandInFleet implements AutoCloseable {
  private final StandInPlatform platform;
  private final Map<String, StandInGroup> groups;

  private StandInFleet(StandInPlatform platform, Map<String, StandInGroup> groups) {
    this.platform = platform;
    this.groups = groups;
  }

  /** Returns a builder of a fleet for these resource documents. */
  public static Builder builder(List<JsonObject> documents) {
    return new Builder(documents);
  }

  /** Returns the stand-in platform. */
  public StandInPlatform platform() {
    return platform;
  }

  /** Returns the base URI of the platform. */
  public URI platformUri() {
    return URI.create("http://127.0.0.1:" + platform.port());
  }

  /** Returns the groups by name. */
  public Map<String, StandInGroup> groups() {
    return groups;
  }

  @Override
  public void close() {
    groups.values().forEach(StandInGroup::close);
    platform.close();
  }

  /** Builds a fleet. Not thread-safe. */
  public static final class Builder {
    private final List<JsonObject> documents;
    private final List<String> schema = new ArrayList<>();
    private boolean declared = true;
    private boolean declaredPorts;
    private int platformPort;

    private Builder(List<JsonObject> documents) {
      this.documents = documents;
    }

    /** Adds statements that every group runs when it starts. */
    public Builder schema(List<String> statements) {
      schema.addAll(statements);
      return this;
    }

    /** Makes the servers listen on their declared ports instead of free ones. */
    public Builder useDeclaredPorts() {
      declaredPorts = true;
      return this;
    }

    /** Starts the fleet without declaring the documents, so that operators can declare them. */
    public Builder withoutDeclarations() {
      declared = false;
      return this;
    }

    /** Sets the platform's port; 0 selects a free one. */
    public Builder platformPort(int port) {
      platformPort = port;
      return this;
    }

    /**
     * Starts the platform and the groups and, unless excluded, declares the documents. Sets the
     * ports of the servers in the documents to those that the stand-ins listen on.
     */
    public StandInFleet start() {
      StandInPlatform platform = StandInPlatform.builder().port(platformPort).start();
      Map<String, StandInGroup> groups = new LinkedHashMap<>();
      for (JsonObject document : documents) {
        if (document.get("kind").getAsString().equals("DatabaseGroup")) {
          StandInGroup group = startGroup(document);
          groups.put(group.name(), group);
        }
      }
      if (declared) {
        declareAll(platform.port());
      }
      return new StandInFleet(platform, groups);
    }

    private void declareAll(int port) {
      URI endpoint = URI.create("http://127.0.0.1:" + port);
      try (EtcdKeyValueStore store =
          new EtcdKeyValueStore(
              List.of(endpoint), EtcdKeyValueStore.Options.DEFAULT, new MetricRegistry())) {
        documents.forEach(d -> declare(store, d));
      }
    }

    private StandInGroup startGroup(JsonObject document) {
      JsonArray servers = document.getAsJsonObject("spec").getAsJsonArray("servers");
      JsonObject first = servers.get(0).getAsJsonObject();
      StandInGroup group =
          StandInGroup.builder(nameOf(document))
              .servers(servers.size())
              .firstPort(declaredPorts ? first.get("port").getAsInt() : 0)
              .slots(first.get("slots").getAsInt())
              .connections(first.get("connections").getAsInt())
              .schema(schema.toArray(String[]::new))
              .start();
      for (int i = 0; i < servers.size(); i++) {
        servers.get(i).getAsJsonObject().addProperty("port", group.servers().get(i).port());
      }
      return group;
    }

    private static void declare(KeyValueStore store, JsonObject document) {
      String key = DeclarationKeys.document(document.get("kind").getAsString(), nameOf(document));
      StoreTransaction.Builder change = StoreTransaction.builder().put(key, document.toString());
      String changeId = UUID.randomUUID().toString();
      WriteResult result =
          store.transact(DeclarationKeys.markChanged(change, changeId).build()).join();
      if (!(result instanceof WriteResult.Applied)) {
        throw new IllegalStateException("cannot write the declaration \"" + key + "\": " + result);
      }
    }

    private static String nameOf(JsonObject document) {
      return document.getAsJsonObject("metadata").get("name").getAsString();
    }
  }
}
