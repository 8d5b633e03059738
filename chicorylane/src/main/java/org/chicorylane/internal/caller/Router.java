package org.chicorylane.internal.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.relay.RequestKind;
import org.jspecify.annotations.Nullable;

/**
 * Maps the method and path of a request to a {@link Route}.
 *
 * <pre>{@code
 * Router.route("POST", "/v1/groups/ledger/write"); // Group[ledger, WRITE]
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
final class Router {
  private static final String POST = "POST";
  private static final String GET = "GET";
  private static final String DELETE = "DELETE";

  private Router() {}

  /**
   * Returns the route of a request.
   *
   * @param method the HTTP method in upper case
   * @param uri the request target in origin or absolute form, with or without a query
   */
  static Route route(String method, String uri) {
    List<String> path = pathSegments(uri);
    if (path.isEmpty() || !path.get(0).equals("v1")) {
      return new Route.NotFound();
    }
    return switch (path.size()) {
      case 2 ->
          path.get(1).equals("sessions")
              ? allowOnly(method, POST, new Route.CreateSession())
              : new Route.NotFound();
      case 3 ->
          path.get(1).equals("health")
              ? routeHealthCheck(method, path.get(2))
              : new Route.NotFound();
      default ->
          path.size() > 3 && path.get(1).equals("groups")
              ? routeGroupRequest(method, path)
              : new Route.NotFound();
    };
  }

  private static Route routeHealthCheck(String method, String check) {
    return switch (check) {
      case "live" -> allowOnly(method, GET, new Route.LivenessCheck());
      case "ready" -> allowOnly(method, GET, new Route.ReadinessCheck());
      default -> new Route.NotFound();
    };
  }

  private static Route routeGroupRequest(String method, List<String> path) {
    String group = path.get(2);
    String resource = path.get(3);
    if (path.size() == 4) {
      return switch (resource) {
        case "read" -> allowOnly(method, POST, newGroupRoute(group, RequestKind.READ, null));
        case "write" -> allowOnly(method, POST, newGroupRoute(group, RequestKind.WRITE, null));
        case "transactions" ->
            allowOnly(method, POST, newGroupRoute(group, RequestKind.BEGIN, null));
        default -> new Route.NotFound();
      };
    }
    if (!resource.equals("transactions")) {
      return new Route.NotFound();
    }
    String handle = path.get(4);
    if (path.size() == 5) {
      return allowOnly(method, DELETE, newGroupRoute(group, RequestKind.ROLLBACK, handle));
    }
    if (path.size() > 6) {
      return new Route.NotFound();
    }
    return switch (path.get(5)) {
      case "statements" ->
          allowOnly(method, POST, newGroupRoute(group, RequestKind.CONTINUE, handle));
      case "commit" -> allowOnly(method, POST, newGroupRoute(group, RequestKind.COMMIT, handle));
      default -> new Route.NotFound();
    };
  }

  private static Route newGroupRoute(String group, RequestKind kind, @Nullable String transaction) {
    return new Route.Group(group, kind, transaction);
  }

  private static Route allowOnly(String method, String allowed, Route route) {
    return method.equals(allowed) ? route : new Route.MethodNotAllowed(allowed);
  }

  private static List<String> pathSegments(String uri) {
    int query = uri.indexOf('?');
    String path = withoutAuthority(query < 0 ? uri : uri.substring(0, query));
    List<String> segments = new ArrayList<>();
    if (!path.startsWith("/")) {
      return segments;
    }
    for (String segment : path.substring(1).split("/", -1)) {
      String decoded = decode(segment);
      if (decoded.isEmpty()) {
        return List.of();
      }
      segments.add(decoded);
    }
    return segments;
  }

  private static String withoutAuthority(String uri) {
    int scheme = uri.indexOf("://");
    if (uri.startsWith("/") || scheme < 0) {
      return uri;
    }
    int path = uri.indexOf('/', scheme + 3);
    return path < 0 ? "/" : uri.substring(path);
  }

  private static String decode(String segment) {
    try {
      return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return "";
    }
  }
}
