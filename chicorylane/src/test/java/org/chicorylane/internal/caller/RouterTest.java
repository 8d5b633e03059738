package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import org.chicorylane.internal.relay.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests the routes of valid and invalid methods and paths. */
final class RouterTest {
  private static final Map<String, Route> ROUTES =
      Map.ofEntries(
          Map.entry("POST /v1/sessions", new Route.CreateSession()),
          Map.entry("GET /v1/sessions", new Route.MethodNotAllowed("POST")),
          Map.entry("GET /v1/health/ready?verbose", new Route.ReadinessCheck()),
          Map.entry("GET /v1/health/other", new Route.NotFound()),
          Map.entry("POST /v1/groups/a%2Fb/read", new Route.Group("a/b", RequestKind.READ, null)),
          Map.entry("PUT /v1/groups/a/write", new Route.MethodNotAllowed("POST")),
          Map.entry("POST /v1/groups//write", new Route.NotFound()),
          Map.entry("POST /v1/groups/%zz/write", new Route.NotFound()),
          Map.entry("POST /v1/groups/a/transactions/t/more", new Route.NotFound()),
          Map.entry("POST /v1/groups/a/transactions/t/commit/x", new Route.NotFound()),
          Map.entry("POST /v2/sessions", new Route.NotFound()),
          Map.entry("GET http://x:7400/v1/health/live", new Route.LivenessCheck()),
          Map.entry("GET http://x", new Route.NotFound()),
          Map.entry("GET *", new Route.NotFound()),
          Map.entry("GET /", new Route.NotFound()));

  @Test
  void testRoutesMethodsAndPaths() {
    ROUTES.forEach(
        (request, route) -> {
          String[] parts = request.split(" ", -1);
          assertWithMessage(request).that(Router.route(parts[0], parts[1])).isEqualTo(route);
        });
  }
}
