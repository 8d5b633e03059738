package org.chicorylane.standin.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import org.chicorylane.standin.platform.KeyValueEngine.Compare;
import org.chicorylane.standin.platform.KeyValueEngine.Delete;
import org.chicorylane.standin.platform.KeyValueEngine.Entry;
import org.chicorylane.standin.platform.KeyValueEngine.Operation;
import org.chicorylane.standin.platform.KeyValueEngine.OperationResult;
import org.chicorylane.standin.platform.KeyValueEngine.Put;
import org.chicorylane.standin.platform.KeyValueEngine.Range;
import org.chicorylane.standin.platform.KeyValueEngine.RefusedException;
import org.chicorylane.standin.platform.KeyValueEngine.Relation;
import org.chicorylane.standin.platform.KeyValueEngine.Target;
import org.chicorylane.standin.platform.KeyValueEngine.TransactionResult;

/**
 * Translates requests and answers between etcd v3's JSON mapping and {@link KeyValueEngine}. In
 * this mapping bytes are base64, 64-bit integers are strings, fields that have their default value
 * are omitted, and field names are in snake case.
 */
final class KeyValueJson {

  private final KeyValueEngine engine;

  KeyValueJson(KeyValueEngine engine) {
    this.engine = engine;
  }

  /**
   * Runs a call that has a single answer and returns that answer.
   *
   * @throws RefusedException if the store rejects the request
   */
  JsonObject handle(CallKind kind, JsonObject request) throws RefusedException {
    return switch (kind) {
      case RANGE -> runSingle(range(request));
      case PUT -> runSingle(put(request));
      case DELETE_RANGE -> runSingle(new Delete(keys(request)));
      case TXN -> transact(request);
      case LEASE_GRANT -> grant(request);
      case LEASE_REVOKE -> revoke(request);
      case LEASE_KEEPALIVE -> keepAlive(request);
      case WATCH, INSTANCE_LIST -> throw new IllegalArgumentException("not a single answer");
    };
  }

  /** Returns the keys that a request selects. */
  static KeyRange keys(JsonObject request) {
    return new KeyRange(bytes(request, "key"), bytes(request, "range_end"));
  }

  /** Returns a number given as a JSON number or string; 0 if the field is absent or null. */
  static long number(JsonObject object, String field) {
    JsonElement element = object.get(field);
    return element == null || element.isJsonNull() ? 0 : element.getAsLong();
  }

  /** Returns the header of an answer; the cluster, member and Raft term are always 1. */
  static JsonObject header(long revision) {
    JsonObject header = new JsonObject();
    header.addProperty("cluster_id", "1");
    header.addProperty("member_id", "1");
    header.addProperty("revision", Long.toString(revision));
    header.addProperty("raft_term", "1");
    return header;
  }

  /** Returns an answer that holds only the header. */
  static JsonObject withHeader(long revision) {
    JsonObject object = new JsonObject();
    object.add("header", header(revision));
    return object;
  }

  /** Wraps {@code result} as streaming calls (watch and keep-alive) require. */
  static JsonObject streamResult(JsonObject result) {
    JsonObject object = new JsonObject();
    object.add("result", result);
    return object;
  }

  /** Returns the watch message that reports the changes of one revision. */
  static JsonObject eventsMessage(long revision, List<Entry> events) {
    JsonArray array = new JsonArray();
    for (Entry entry : events) {
      JsonObject event = new JsonObject();
      if (entry.isDeletion()) {
        event.addProperty("type", "DELETE");
      }
      event.add("kv", toJson(entry));
      array.add(event);
    }
    JsonObject result = withHeader(revision);
    result.add("events", array);
    return streamResult(result);
  }

  private JsonObject runSingle(Operation operation) throws RefusedException {
    TransactionResult result = engine.transact(List.of(), List.of(operation), List.of());
    return body(result.results().get(0), result.revision());
  }

  private JsonObject transact(JsonObject request) throws RefusedException {
    List<Compare> compares = new ArrayList<>();
    for (JsonElement element : array(request, "compare")) {
      compares.add(compare(element.getAsJsonObject()));
    }
    TransactionResult result =
        engine.transact(compares, operations(request, "success"), operations(request, "failure"));
    JsonObject answer = withHeader(result.revision());
    if (result.succeeded()) {
      answer.addProperty("succeeded", true);
    }
    JsonArray responses = new JsonArray();
    for (OperationResult operation : result.results()) {
      JsonObject response = new JsonObject();
      response.add(responseName(operation.operation()), body(operation, result.revision()));
      responses.add(response);
    }
    answer.add("responses", responses);
    return answer;
  }

  private JsonObject grant(JsonObject request) throws RefusedException {
    long ttl = number(request, "TTL");
    long id = engine.grant(number(request, "ID"), Duration.ofSeconds(ttl));
    return leaseAnswer(id, ttl);
  }

  private JsonObject revoke(JsonObject request) throws RefusedException {
    engine.revoke(number(request, "ID"));
    return withHeader(engine.revision());
  }

  private JsonObject keepAlive(JsonObject request) {
    long id = number(request, "ID");
    long ttl = engine.keepAlive(id).map(Duration::toSeconds).orElse(0L);
    return streamResult(leaseAnswer(id, ttl));
  }

  private JsonObject leaseAnswer(long id, long ttl) {
    JsonObject answer = withHeader(engine.revision());
    answer.addProperty("ID", Long.toString(id));
    if (ttl > 0) {
      answer.addProperty("TTL", Long.toString(ttl));
    }
    return answer;
  }

  private static Compare compare(JsonObject json) throws RefusedException {
    Target target = enumConstant(Target.class, json, "target", Target.VERSION);
    Relation relation = enumConstant(Relation.class, json, "result", Relation.EQUAL);
    String operand =
        switch (target) {
          case VERSION -> "version";
          case CREATE -> "create_revision";
          case MOD -> "mod_revision";
          case VALUE -> "value";
        };
    boolean byValue = target == Target.VALUE;
    return new Compare(
        bytes(json, "key"),
        target,
        relation,
        byValue ? 0 : number(json, operand),
        byValue ? bytes(json, operand) : "");
  }

  private static <E extends Enum<E>> E enumConstant(
      Class<E> type, JsonObject json, String field, E fallback) throws RefusedException {
    JsonElement element = json.get(field);
    if (element == null) {
      return fallback;
    }
    try {
      return Enum.valueOf(type, element.getAsString().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new RefusedException("unknown " + field + " " + element);
    }
  }

  private static List<Operation> operations(JsonObject request, String field)
      throws RefusedException {
    List<Operation> operations = new ArrayList<>();
    for (JsonElement element : array(request, field)) {
      operations.add(operation(element.getAsJsonObject()));
    }
    return operations;
  }

  private static Operation operation(JsonObject json) throws RefusedException {
    if (json.has("request_range")) {
      return range(json.getAsJsonObject("request_range"));
    }
    if (json.has("request_put")) {
      return put(json.getAsJsonObject("request_put"));
    }
    if (json.has("request_delete_range")) {
      return new Delete(keys(json.getAsJsonObject("request_delete_range")));
    }
    throw new RefusedException("unknown operation " + json.keySet());
  }

  private static Range range(JsonObject json) {
    return new Range(keys(json), number(json, "revision"));
  }

  private static Put put(JsonObject json) {
    return new Put(bytes(json, "key"), bytes(json, "value"), number(json, "lease"));
  }

  private static String responseName(Operation operation) {
    if (operation instanceof Put) {
      return "response_put";
    }
    return operation instanceof Delete ? "response_delete_range" : "response_range";
  }

  private static JsonObject body(OperationResult result, long revision) {
    JsonObject body = withHeader(revision);
    String count = Integer.toString(result.entries().size());
    if (result.operation() instanceof Range && !result.entries().isEmpty()) {
      JsonArray kvs = new JsonArray();
      result.entries().forEach(e -> kvs.add(toJson(e)));
      body.add("kvs", kvs);
      body.addProperty("count", count);
    } else if (result.operation() instanceof Delete && !result.entries().isEmpty()) {
      body.addProperty("deleted", count);
    }
    return body;
  }

  private static JsonObject toJson(Entry entry) {
    JsonObject json = new JsonObject();
    json.addProperty("key", base64(entry.key()));
    addNumber(json, "create_revision", entry.createRevision());
    addNumber(json, "mod_revision", entry.modRevision());
    addNumber(json, "version", entry.version());
    if (!entry.value().isEmpty()) {
      json.addProperty("value", base64(entry.value()));
    }
    addNumber(json, "lease", entry.lease());
    return json;
  }

  private static void addNumber(JsonObject json, String field, long value) {
    if (value != 0) {
      json.addProperty(field, Long.toString(value));
    }
  }

  private static JsonArray array(JsonObject json, String field) {
    return json.has(field) ? json.getAsJsonArray(field) : new JsonArray();
  }

  /** Decodes a base64 field to one character per byte; returns an empty string if it is absent. */
  private static String bytes(JsonObject json, String field) {
    JsonElement element = json.get(field);
    if (element == null || element.isJsonNull()) {
      return "";
    }
    return new String(
        Base64.getDecoder().decode(element.getAsString()), StandardCharsets.ISO_8859_1);
  }

  private static String base64(String bytes) {
    return Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }
}
