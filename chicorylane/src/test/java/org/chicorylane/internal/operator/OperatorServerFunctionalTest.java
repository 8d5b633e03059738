package org.chicorylane.internal.operator;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.dissemination.DeclarationKeys;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost, partial or unauthorized changes through the operator API. Changes get lost
 * when two operators write concurrently, when the store fails between read and write, or when its
 * response is lost after the change took effect.
 */
final class OperatorServerFunctionalTest {
  private static final String TOKEN = "a-token-of-operators";
  private static final String LOOKUP = "/v1/resources/ReadClass/lookup";
  private static final String LEDGER = "/v1/resources/DatabaseGroup/ledger";
  private static final InstantSource CLOCK =
      InstantSource.fixed(Instant.parse("2026-12-03T20:00:00Z"));

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final InterceptingStore interceptingStore = new InterceptingStore(store);
  private final FakeFleetStatus fleet = new FakeFleetStatus();
  private final ResourceStore resources =
      new ResourceStore(interceptingStore, delay -> CompletableFuture.completedFuture(null), CLOCK);
  private final OperatorServer server =
      OperatorServer.start(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), TOKEN, resources, fleet);
  private final HttpClient http = HttpClient.newHttpClient();

  private record Response(int status, JsonObject body) {}

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  void testRejectsWrongTokensOnEveryPath() throws Exception {
    for (String path : List.of("/", "/v1/status", "/v1/resources", LOOKUP, "/v1/apply", "/x")) {
      for (String token : List.of("", "Bearer ", "Bearer " + TOKEN + "x", "Basic " + TOKEN)) {
        assertWithMessage(path + " with " + token)
            .that(send("GET", path, "", token).status())
            .isEqualTo(401);
      }
    }
  }

  @Test
  void testRejectsLargeBodies() throws Exception {
    String large = " ".repeat(OperatorServer.MAXIMUM_BODY_BYTES + 1);
    assertThat(send("PUT", LOOKUP, large).status()).isEqualTo(413);
    assertNothingDeclared();
  }

  @Test
  void testReportsAllFindingsOfInvalidDocuments() throws Exception {
    Map<String, List<String>> bad =
        Map.of(
            "",
            List.of("$"),
            "[]",
            List.of("$"),
            "{\"kind\":1}",
            List.of("$.apiVersion", "$.kind", "$.metadata", "$.spec"),
            readClass("lookup", -1, ",\"more\":1"),
            List.of("$.spec.maximumAgeMillis", "$.spec.more"),
            readClass("Lookup", 5, ""),
            List.of("$.metadata.name"),
            readClass("other", 5, ""),
            List.of("$.metadata.name"));
    for (Map.Entry<String, List<String>> e : bad.entrySet()) {
      Response response = send("PUT", LOOKUP, e.getKey());
      assertWithMessage(e.getKey()).that(response.status()).isEqualTo(422);
      assertWithMessage(e.getKey()).that(paths(response)).containsAtLeastElementsIn(e.getValue());
    }
    assertNothingDeclared();
  }

  @Test
  void testChecksConsistencyWithOtherResources() throws Exception {
    Response alone = apply(objective());
    assertThat(alone.status()).isEqualTo(422);
    assertThat(paths(alone)).containsExactly("$.spec.requestClass");
    assertThat(apply(objective(), requestClass()).status()).isEqualTo(200);
    String path = "/v1/resources/RequestClass/browse";
    Response delete = send("DELETE", path + "?resourceVersion=" + resourceVersion(path), "");
    assertThat(delete.status()).isEqualTo(422);
    assertThat(send("GET", path, "").status()).isEqualTo(200);
  }

  @Test
  void testCreatesReplacesAndDeletesByVersion() throws Exception {
    assertThat(put(LOOKUP, readClass("lookup", 5, "")).status()).isEqualTo(200);
    assertThat(put(LOOKUP, readClass("lookup", 6, "")).status()).isEqualTo(409);
    String first = resourceVersion(LOOKUP);
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 7, first)).status()).isEqualTo(200);
    assertThat(put(LOOKUP + "?force=true", readClass("lookup", 8, "")).status()).isEqualTo(200);
    assertThat(send("DELETE", LOOKUP, "").status()).isEqualTo(400);
    assertThat(send("DELETE", LOOKUP + "?resourceVersion=" + first, "").status()).isEqualTo(409);
    Response deletion = send("DELETE", LOOKUP + "?resourceVersion=" + resourceVersion(LOOKUP), "");
    assertThat(deletion.status()).isEqualTo(200);
    assertThat(send("GET", LOOKUP, "").status()).isEqualTo(404);
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 9, first)).status()).isEqualTo(409);
  }

  @Test
  void testDryRunChangesNothing() throws Exception {
    Response response = put(LOOKUP + "?dryRun=true", readClass("lookup", 5, ""));
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body().get("dryRun").getAsBoolean()).isTrue();
    assertNothingDeclared();
  }

  @Test
  void testConflictReportsBothVersionsAndAuthor() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    put(LOOKUP, readClassWithVersion("lookup", 6, seen));
    Response response = put(LOOKUP, readClassWithVersion("lookup", 7, seen));
    assertThat(response.status()).isEqualTo(409);
    JsonObject conflict = response.body().getAsJsonArray("conflicts").get(0).getAsJsonObject();
    assertThat(conflict.get("expectedVersion").getAsString()).isEqualTo(seen);
    assertThat(conflict.get("currentVersion").getAsString()).isEqualTo(resourceVersion(LOOKUP));
    assertThat(conflict.get("changedBy").getAsString()).isEqualTo("ana");
    assertThat(conflict.get("changedAt").getAsString()).isEqualTo("2026-12-03T20:00:00Z");
  }

  @Test
  void testExactlyOneOfConcurrentWritersSucceeds() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    List<Callable<Response>> writers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String document = readClassWithVersion("lookup", 100 + i, seen);
      writers.add(() -> put(LOOKUP, document));
    }
    ExecutorService threads = Executors.newFixedThreadPool(writers.size());
    List<Integer> statuses = new ArrayList<>();
    for (Future<Response> future : threads.invokeAll(writers)) {
      statuses.add(future.get().status());
    }
    threads.shutdown();
    assertThat(statuses).containsExactly(200, 409, 409, 409, 409, 409, 409, 409);
  }

  @Test
  void testConcurrentChangeOfAnotherDocumentSucceeds() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    interceptingStore.beforeNextWrite(() -> putForced("browse", 9));
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 6, seen)).status()).isEqualTo(200);
    assertThat(send("GET", "/v1/resources/ReadClass/browse", "").status()).isEqualTo(200);
  }

  @Test
  void testConcurrentChangeOfTheSameDocumentConflicts() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    interceptingStore.beforeNextWrite(() -> putForced("lookup", 9));
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 6, seen)).status()).isEqualTo(409);
    assertThat(maximumAgeMillis()).isEqualTo(9);
  }

  @Test
  void testChangeWithLostResponseIsAppliedOnceAndReported() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    store.loseNextAnswers(1);
    Response response = put(LOOKUP, readClassWithVersion("lookup", 6, seen));
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body().get("revision").getAsString()).isEqualTo(resourceVersion(LOOKUP));
    assertThat(generation()).isEqualTo(2);
  }

  @Test
  void testDeletionWithLostResponseIsReportedAsApplied() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    String seen = resourceVersion(LOOKUP);
    store.loseNextAnswers(1);
    assertThat(send("DELETE", LOOKUP + "?resourceVersion=" + seen, "").status()).isEqualTo(200);
    assertThat(send("GET", LOOKUP, "").status()).isEqualTo(404);
  }

  @Test
  void testFirstChangeWithLostRequestIsReportedAsUnsettled() throws Exception {
    store.loseNextRequests(1);
    Response response = put(LOOKUP, readClass("lookup", 5, ""));
    assertThat(response.status()).isEqualTo(503);
    assertThat(response.body().get("type").getAsString()).endsWith("operator-unsettled");
    assertThat(response.body().has("changeId")).isTrue();
  }

  @Test
  void testUnavailableStoreIsReportedAndChangesNothing() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    final String seen = resourceVersion(LOOKUP);
    store.setDown(true);
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 6, seen)).status()).isEqualTo(503);
    assertThat(send("GET", LOOKUP, "").status()).isEqualTo(503);
    JsonObject status = send("GET", "/v1/status", "").body();
    assertThat(status.get("storeReachable").getAsBoolean()).isFalse();
    store.setDown(false);
    assertThat(resourceVersion(LOOKUP)).isEqualTo(seen);
  }

  @Test
  void testStoreLostBetweenReadAndWriteChangesNothing() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    final String seen = resourceVersion(LOOKUP);
    interceptingStore.beforeNextWrite(() -> store.setDown(true));
    assertThat(put(LOOKUP, readClassWithVersion("lookup", 6, seen)).status()).isEqualTo(503);
    store.setDown(false);
    assertThat(resourceVersion(LOOKUP)).isEqualTo(seen);
  }

  @Test
  void testAppliesAllDocumentsOrNone() throws Exception {
    Response response = apply(readClass("lookup", 5, ""), readClass("browse", -5, ""));
    assertThat(response.status()).isEqualTo(422);
    assertThat(paths(response)).containsExactly("$.spec.maximumAgeMillis");
    assertNothingDeclared();
    Response twice = apply(readClass("lookup", 5, ""), readClass("lookup", 6, ""));
    assertThat(twice.status()).isEqualTo(422);
    assertNothingDeclared();
  }

  @Test
  void testRejectsOperatorNamesThatForgeLogEntries() throws Exception {
    String body = "{\"documents\":[%s],\"changedBy\":\"ana\\nINFO forged\"}";
    Response response = send("POST", "/v1/apply", body.formatted(requestClass()));
    assertThat(response.status()).isEqualTo(422);
    assertThat(paths(response)).containsExactly("$.changedBy");
    assertNothingDeclared();
  }

  @Test
  void testRepeatedApplyWritesNothing() throws Exception {
    Response first = apply(readClass("lookup", 5, ""), requestClass());
    Response second = apply(readClass("lookup", 5, ""), requestClass());
    assertThat(second.status()).isEqualTo(200);
    assertThat(second.body().get("revision")).isEqualTo(first.body().get("revision"));
    assertThat(second.body().toString()).doesNotContain("CREATED");
    assertThat(resourceVersion(LOOKUP)).isEqualTo(first.body().get("revision").getAsString());
  }

  @Test
  void testDrainKeepsConcurrentChangeOfTheGroup() throws Exception {
    put(LEDGER, group("JOINED", 8));
    interceptingStore.beforeNextWrite(
        () -> runSuccessfully(() -> put(LEDGER + "?force=true", group("JOINED", 9))));
    assertThat(send("POST", "/v1/servers/ledger/a/drain", "").status()).isEqualTo(200);
    JsonArray servers =
        send("GET", LEDGER, "").body().getAsJsonObject("spec").getAsJsonArray("servers");
    assertThat(servers.get(0).getAsJsonObject().get("state").getAsString()).isEqualTo("LEAVING");
    assertThat(servers.get(0).getAsJsonObject().get("slots").getAsInt()).isEqualTo(9);
  }

  @Test
  void testDrainsAndJoinsServersButNeverDrainsTheLast() throws Exception {
    put(LEDGER, group("LEAVING", 8));
    assertThat(send("POST", "/v1/servers/ledger/b/drain", "").status()).isEqualTo(422);
    assertThat(send("POST", "/v1/servers/ledger/a/join", "").status()).isEqualTo(200);
    assertThat(send("POST", "/v1/servers/ledger/b/drain", "").status()).isEqualTo(200);
    assertThat(send("POST", "/v1/servers/ledger/c/drain", "").status()).isEqualTo(404);
    assertThat(send("POST", "/v1/servers/plans/a/drain", "").status()).isEqualTo(404);
    assertThat(send("GET", "/v1/servers/ledger/a/drain", "").status()).isEqualTo(405);
  }

  @Test
  void testStatusReportsInstancesBehindWithReason() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    long revision = Long.parseLong(resourceVersion(LOOKUP));
    fleet.setDeclarations(new Declarations(revision, Map.of(), Map.of(), Map.of(), Map.of()));
    JsonObject status = send("GET", "/v1/status", "").body();
    assertThat(status.get("declaredRevision").getAsLong()).isEqualTo(revision);
    JsonArray instances = status.getAsJsonArray("instances");
    assertThat(instances.get(0).getAsJsonObject().get("behind").getAsBoolean()).isFalse();
    assertThat(instances.get(1).toString()).contains("no word");
    assertThat(instances.get(2).toString()).contains("suspected");
  }

  @Test
  void testConditionGivesReasonWhenDocumentIsNotInForce() throws Exception {
    put(LOOKUP, readClass("lookup", 5, ""));
    long revision = Long.parseLong(resourceVersion(LOOKUP));
    assertThat(send("GET", LOOKUP, "").body().toString()).contains("RevisionNotArrived");
    fleet.setDeclarations(new Declarations(revision, Map.of(), Map.of(), Map.of(), Map.of()));
    assertThat(send("GET", LOOKUP, "").body().toString()).contains("LeftOut");
  }

  private Response put(String path, String document) throws IOException, InterruptedException {
    return send("PUT", path, document);
  }

  private Response apply(String... documents) throws IOException, InterruptedException {
    String body = "{\"documents\":[" + String.join(",", documents) + "],\"changedBy\":\"ana\"}";
    return send("POST", "/v1/apply", body);
  }

  private Response send(String method, String path, String body)
      throws IOException, InterruptedException {
    return send(method, path, body, "Bearer " + TOKEN);
  }

  private Response send(String method, String path, String body, String authorization)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Authorization", authorization)
            .header(OperatorServer.CHANGED_BY_HEADER, "ana")
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    return new Response(
        response.statusCode(), JsonParser.parseString(response.body()).getAsJsonObject());
  }

  private void putForced(String name, int age) {
    runSuccessfully(
        () -> put("/v1/resources/ReadClass/" + name + "?force=true", readClass(name, age, "")));
  }

  private static void runSuccessfully(Callable<Response> call) {
    try {
      assertThat(call.call().status()).isEqualTo(200);
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private void assertNothingDeclared() throws Exception {
    Response all = send("GET", "/v1/resources", "");
    assertThat(all.body().getAsJsonArray("documents")).isEmpty();
    assertThat(all.body().get("revision").getAsLong()).isEqualTo(0);
    assertThat(store.get(DeclarationKeys.REVISION_KEY).join().toString()).contains("entries=[]");
  }

  private String resourceVersion(String path) throws IOException, InterruptedException {
    return metadata(path).get("resourceVersion").getAsString();
  }

  private int generation() throws IOException, InterruptedException {
    return metadata(LOOKUP).get("generation").getAsInt();
  }

  private int maximumAgeMillis() throws IOException, InterruptedException {
    JsonObject spec = send("GET", LOOKUP, "").body().getAsJsonObject("spec");
    return spec.get("maximumAgeMillis").getAsInt();
  }

  private JsonObject metadata(String path) throws IOException, InterruptedException {
    return send("GET", path, "").body().getAsJsonObject("metadata");
  }

  private static List<String> paths(Response response) {
    List<String> paths = new ArrayList<>();
    response
        .body()
        .getAsJsonArray("findings")
        .forEach(f -> paths.add(f.getAsJsonObject().get("path").getAsString()));
    return paths;
  }

  private static String document(String kind, String metadata, String spec) {
    return ("{\"apiVersion\":\"chicorylane.example/v1\",\"kind\":\"%s\","
            + "\"metadata\":{%s},\"spec\":{%s}}")
        .formatted(kind, metadata, spec);
  }

  private static String readClass(String name, int age, String more) {
    return document("ReadClass", "\"name\":\"" + name + "\"", "\"maximumAgeMillis\":" + age + more);
  }

  private static String readClassWithVersion(String name, int age, String version) {
    String metadata = "\"name\":\"%s\",\"resourceVersion\":\"%s\"".formatted(name, version);
    return document("ReadClass", metadata, "\"maximumAgeMillis\":" + age);
  }

  private static String requestClass() {
    return document("RequestClass", "\"name\":\"browse\"", "");
  }

  private static String objective() {
    return document(
        "ServiceLevelObjective",
        "\"name\":\"fast\"",
        "\"requestClass\":\"browse\",\"target\":0.99,\"latencyMillis\":300");
  }

  private static String group(String stateOfA, int slots) {
    return document(
        "DatabaseGroup",
        "\"name\":\"ledger\"",
        "\"database\":\"d\",\"user\":\"u\",\"initialPrimary\":\"a\",\"servers\":["
            + server("a", 5501, slots, stateOfA)
            + ","
            + server("b", 5502, slots, "JOINED")
            + "]");
  }

  private static String server(String name, int port, int slots, String state) {
    return ("{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"port\":%d,\"availabilityZone\":\"z\","
            + "\"slots\":%d,\"connections\":20,\"state\":\"%s\"}")
        .formatted(name, port, slots, state);
  }
}
