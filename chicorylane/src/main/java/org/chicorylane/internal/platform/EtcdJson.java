package org.chicorylane.internal.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Builds requests to etcd v3 and parses its answers, in the JSON mapping of its gRPC API. Keys and
 * values are base64, numbers are decimal texts. Stateless and thread-safe.
 */
final class EtcdJson {

  private EtcdJson() {}

  /** Returns the request fields that select one key. */
  static JsonObject singleKey(String key) {
    JsonObject request = new JsonObject();
    request.addProperty("key", encode(key));
    return request;
  }

  /** Returns the request fields that select all keys with a prefix, which must not be empty. */
  static JsonObject prefix(String prefix) {
    byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
    end[end.length - 1]++;
    JsonObject request = singleKey(prefix);
    request.addProperty("range_end", Base64.getEncoder().encodeToString(end));
    return request;
  }

  /** Returns a request to watch a prefix from a revision on, with progress notifications. */
  static JsonObject watch(String prefix, long fromRevision) {
    JsonObject create = prefix(prefix);
    create.addProperty("start_revision", Long.toString(fromRevision));
    create.addProperty("progress_notify", true);
    return wrap("create_request", create);
  }

  /**
   * Returns the request for a transaction. If a condition fails, the answer contains the current
   * entries of the keys in the conditions.
   */
  static JsonObject transaction(StoreTransaction transaction) {
    JsonArray compares = new JsonArray();
    JsonArray reads = new JsonArray();
    for (StoreTransaction.Condition condition : transaction.conditions()) {
      JsonObject compare = singleKey(condition.key());
      compare.addProperty("target", "MOD");
      compare.addProperty("result", "EQUAL");
      compare.addProperty("mod_revision", Long.toString(condition.expectedModRevision()));
      compares.add(compare);
      reads.add(wrap("request_range", singleKey(condition.key())));
    }
    JsonArray writes = new JsonArray();
    transaction.operations().forEach(operation -> writes.add(operation(operation)));
    JsonObject request = new JsonObject();
    request.add("compare", compares);
    request.add("success", writes);
    request.add("failure", reads);
    return request;
  }

  /** Returns the store revision in an answer's header; 0 if there is none. */
  static long revision(JsonObject answer) {
    JsonObject header = answer.getAsJsonObject("header");
    return header == null ? 0 : number(header, "revision");
  }

  /** Returns a boolean field; false if it is absent. */
  static boolean flag(JsonObject answer, String field) {
    JsonElement element = answer.get(field);
    return element != null && element.getAsBoolean();
  }

  /** Returns the entries in the answer to a range request. */
  static List<KeyValueEntry> entries(JsonObject rangeAnswer) {
    List<KeyValueEntry> entries = new ArrayList<>();
    for (JsonElement element : array(rangeAnswer, "kvs")) {
      entries.add(entry(element.getAsJsonObject()));
    }
    return entries;
  }

  /** Returns the entries that a failed transaction read. */
  static List<KeyValueEntry> conflictingEntries(JsonObject transactionAnswer) {
    List<KeyValueEntry> entries = new ArrayList<>();
    for (JsonElement element : array(transactionAnswer, "responses")) {
      JsonObject range = element.getAsJsonObject().getAsJsonObject("response_range");
      entries.addAll(entries(range));
    }
    return entries;
  }

  /** Returns the changes in one message of a watch. */
  static List<WatchListener.Change> changes(JsonObject watchResult) {
    List<WatchListener.Change> changes = new ArrayList<>();
    for (JsonElement element : array(watchResult, "events")) {
      JsonObject event = element.getAsJsonObject();
      boolean deleted = event.has("type") && event.get("type").getAsString().equals("DELETE");
      changes.add(new WatchListener.Change(entry(event.getAsJsonObject("kv")), deleted));
    }
    return changes;
  }

  private static JsonObject operation(StoreTransaction.Operation operation) {
    if (operation instanceof StoreTransaction.Put put) {
      JsonObject json = singleKey(put.key());
      json.addProperty("value", encode(put.value()));
      return wrap("request_put", json);
    }
    StoreTransaction.Delete delete = (StoreTransaction.Delete) operation;
    return wrap("request_delete_range", singleKey(delete.key()));
  }

  private static KeyValueEntry entry(JsonObject kv) {
    JsonElement value = kv.get("value");
    return new KeyValueEntry(
        decode(kv.get("key").getAsString()),
        value == null ? "" : decode(value.getAsString()),
        number(kv, "mod_revision"));
  }

  private static long number(JsonObject object, String field) {
    JsonElement element = object.get(field);
    return element == null ? 0 : element.getAsLong();
  }

  private static JsonArray array(JsonObject object, String field) {
    return object.has(field) ? object.getAsJsonArray(field) : new JsonArray();
  }

  private static JsonObject wrap(String field, JsonObject inner) {
    JsonObject outer = new JsonObject();
    outer.add(field, inner);
    return outer;
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String decode(String base64) {
    return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
  }
}
