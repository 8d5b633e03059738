package org.chicorylane.internal.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chicorylane.internal.finding.Finding;

/**
 * Puts resources together and reports what is wrong between them. Not thread-safe.
 *
 * <p>Resources are taken in the order of their kinds and names, whatever order they come in, so all
 * instances leave out the same ones.
 */
final class DeclarationAssembler {
  private final List<Finding> findings;
  private final Map<String, DatabaseGroup> groups = new TreeMap<>();
  private final Map<String, ReadClass> readClasses = new TreeMap<>();
  private final Map<String, RequestClass> requestClasses = new TreeMap<>();
  private final Map<String, Objective> objectives = new TreeMap<>();
  private final Map<String, String> groupByAddress = new HashMap<>();

  private DeclarationAssembler(List<Finding> earlier) {
    this.findings = new ArrayList<>(earlier);
  }

  /** Returns what fits together, with the earlier findings followed by those found here. */
  static LenientAssembly assemble(long revision, List<Resource> resources, List<Finding> earlier) {
    DeclarationAssembler a = new DeclarationAssembler(earlier);
    resources.stream()
        .sorted(Comparator.comparing(Resource::kind).thenComparing(Resource::name))
        .forEach(a::add);
    a.checkReservedSlots();
    Declarations declarations =
        new Declarations(revision, a.groups, a.readClasses, a.requestClasses, a.objectives);
    return new LenientAssembly(declarations, a.findings);
  }

  private void add(Resource resource) {
    Spec spec = resource.spec();
    if (spec instanceof DatabaseGroup group && fits(resource, group)) {
      put(resource, groups, group);
    } else if (spec instanceof ReadClass readClass) {
      put(resource, readClasses, readClass);
    } else if (spec instanceof RequestClass requestClass) {
      put(resource, requestClasses, requestClass);
    } else if (spec instanceof Objective objective && fits(resource, objective)) {
      put(resource, objectives, objective);
    }
  }

  private <S extends Spec> void put(Resource resource, Map<String, S> specs, S spec) {
    if (specs.putIfAbsent(resource.name(), spec) != null) {
      report(resource, "$.metadata.name", "\"" + resource.name() + "\" is declared more than once");
    }
  }

  private boolean fits(Resource resource, DatabaseGroup group) {
    if (groups.containsKey(group.name())) {
      return true;
    }
    boolean fits = true;
    for (int i = 0; i < group.servers().size(); i++) {
      String address = DatabaseGroupReader.address(group.servers().get(i));
      String owner = groupByAddress.get(address);
      if (owner != null) {
        String message = address + " belongs to database group \"" + owner + "\" already";
        report(resource, "$.spec.servers[" + i + "].port", message);
        fits = false;
      }
    }
    if (fits) {
      group
          .servers()
          .forEach(s -> groupByAddress.put(DatabaseGroupReader.address(s), group.name()));
    }
    return fits;
  }

  private boolean fits(Resource resource, Objective objective) {
    if (requestClasses.containsKey(objective.requestClass())) {
      return true;
    }
    String message = "request class \"" + objective.requestClass() + "\" is not declared";
    report(resource, "$.spec.requestClass", message);
    return false;
  }

  private void checkReservedSlots() {
    int reserved = requestClasses.values().stream().mapToInt(RequestClass::reservedSlots).sum();
    for (DatabaseGroup group : groups.values()) {
      for (int i = 0; i < group.servers().size(); i++) {
        int slots = group.servers().get(i).slots();
        if (reserved > slots - 1) {
          findings.add(
              new Finding(
                  ResourceKind.DATABASE_GROUP.kindName() + "/" + group.name(),
                  "$.spec.servers[" + i + "].slots",
                  "all request classes reserve "
                      + reserved
                      + " slots, more than "
                      + (slots - 1)
                      + " of "
                      + slots));
        }
      }
    }
  }

  private void report(Resource resource, String path, String message) {
    findings.add(new Finding(resource.key(), path, message));
  }
}
