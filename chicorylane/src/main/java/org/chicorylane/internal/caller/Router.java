package org.chicorylane.internal.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.relay.RequestKind;
import org.jspecify.annotations.Nullable;

/**
 * Finds the route of a request.
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
   * Returns the route.
   *
   * @param method the HTTP method in upper case
   * @param uri the request target in origin or absolute form, with or without a query
   */
  static Route route(String method, String uri) {
    List<String> path = split(uri);
    if (path.isEmpty() || !path.get(0).equals("v1")) {
      return new Route.Unknown();
    }
    return switch (path.size()) {
      case 2 ->
          path.get(1).equals("sessions")
              ? on(method, POST, new Route.NewSession())
              : new Route.Unknown();
      case 3 -> path.get(1).equals("health") ? health(method, path.get(2)) : new Route.Unknown();
      default ->
          path.size() > 3 && path.get(1).equals("groups")
              ? group(method, path)
              : new Route.Unknown();
    };
  }

  private static Route health(String method, String check) {
    return switch (check) {
      case "live" -> on(method, GET, new Route.Live());
      case "ready" -> on(method, GET, new Route.Ready());
      default -> new Route.Unknown();
    };
  }

  private static Route group(String method, List<String> path) {
    String group = path.get(2);
    String resource = path.get(3);
    if (path.size() == 4) {
      return switch (resource) {
        case "read" -> on(method, POST, call(group, RequestKind.READ, null));
        case "write" -> on(method, POST, call(group, RequestKind.WRITE, null));
        case "transactions" -> on(method, POST, call(group, RequestKind.BEGIN, null));
        default -> new Route.Unknown();
      };
    }
    if (!resource.equals("transactions")) {
      return new Route.Unknown();
    }
    String handle = path.get(4);
    if (path.size() == 5) {
      return on(method, DELETE, call(group, RequestKind.ROLLBACK, handle));
    }
    if (path.size() > 6) {
      return new Route.Unknown();
    }
    return switch (path.get(5)) {
      case "statements" -> on(method, POST, call(group, RequestKind.CONTINUE, handle));
      case "commit" -> on(method, POST, call(group, RequestKind.COMMIT, handle));
      default -> new Route.Unknown();
    };
  }

  private static Route call(String group, RequestKind kind, @Nullable String transaction) {
    return new Route.Group(group, kind, transaction);
  }

  private static Route on(String method, String allowed, Route route) {
    return method.equals(allowed) ? route : new Route.WrongMethod(allowed);
  }

  private static List<String> split(String uri) {
    int query = uri.indexOf('?');
    String path = withoutAuthority(query < 0 ? uri : uri.substring(0, query));
    List<String> parts = new ArrayList<>();
    if (!path.startsWith("/")) {
      return parts;
    }
    for (String part : path.substring(1).split("/", -1)) {
      String decoded = decode(part);
      if (decoded.isEmpty()) {
        return List.of();
      }
      parts.add(decoded);
    }
    return parts;
  }

  private static String withoutAuthority(String uri) {
    int scheme = uri.indexOf("://");
    if (uri.startsWith("/") || scheme < 0) {
      return uri;
    }
    int path = uri.indexOf('/', scheme + 3);
    return path < 0 ? "/" : uri.substring(path);
  }

  private static String decode(String part) {
    try {
      return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return "";
    }
  }
}
