package org.chicorylane.internal.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chicorylane.internal.finding.Finding;

/**
 * Combines resources into {@link Declarations} and reports inconsistencies between them. Not
 * thread-safe.
 *
 * <p>Resources are added in the order of their kinds and names, regardless of the input order, so
 * that all instances leave out the same ones.
 */
final class DeclarationAssembler {
  private final List<Finding> findings;
  private final Map<String, DatabaseGroup> groups = new TreeMap<>();
  private final Map<String, ReadClass> readClasses = new TreeMap<>();
  private final Map<String, RequestClass> requestClasses = new TreeMap<>();
  private final Map<String, Objective> objectives = new TreeMap<>();
  private final Map<String, String> groupByAddress = new HashMap<>();

  private DeclarationAssembler(List<Finding> earlierFindings) {
    this.findings = new ArrayList<>(earlierFindings);
  }

  /** Returns the consistent resources, and the earlier findings followed by the new ones. */
  static LenientAssembly assemble(
      long revision, List<Resource> resources, List<Finding> earlierFindings) {
    DeclarationAssembler assembler = new DeclarationAssembler(earlierFindings);
    resources.stream()
        .sorted(Comparator.comparing(Resource::kind).thenComparing(Resource::name))
        .forEach(assembler::add);
    assembler.checkReservedSlots();
    Declarations declarations =
        new Declarations(
            revision,
            assembler.groups,
            assembler.readClasses,
            assembler.requestClasses,
            assembler.objectives);
    return new LenientAssembly(declarations, assembler.findings);
  }

  private void add(Resource resource) {
    Spec spec = resource.spec();
    if (spec instanceof DatabaseGroup group && validate(resource, group)) {
      putUnique(resource, groups, group);
    } else if (spec instanceof ReadClass readClass) {
      putUnique(resource, readClasses, readClass);
    } else if (spec instanceof RequestClass requestClass) {
      putUnique(resource, requestClasses, requestClass);
    } else if (spec instanceof Objective objective && validate(resource, objective)) {
      putUnique(resource, objectives, objective);
    }
  }

  /** Adds the spec, or a finding if its name is already taken. */
  private <S extends Spec> void putUnique(Resource resource, Map<String, S> specs, S spec) {
    if (specs.putIfAbsent(resource.name(), spec) != null) {
      report(resource, "$.metadata.name", "\"" + resource.name() + "\" is declared more than once");
    }
  }

  /** Claims the addresses of the group; returns false after a finding if another group has one. */
  private boolean validate(Resource resource, DatabaseGroup group) {
    if (groups.containsKey(group.name())) {
      return true;
    }
    boolean valid = true;
    for (int i = 0; i < group.servers().size(); i++) {
      String address = DatabaseGroupReader.address(group.servers().get(i));
      String owner = groupByAddress.get(address);
      if (owner != null) {
        String message = address + " belongs to database group \"" + owner + "\" already";
        report(resource, "$.spec.servers[" + i + "].port", message);
        valid = false;
      }
    }
    if (valid) {
      group
          .servers()
          .forEach(s -> groupByAddress.put(DatabaseGroupReader.address(s), group.name()));
    }
    return valid;
  }

  /** Returns whether the request class is declared, and adds a finding if it is not. */
  private boolean validate(Resource resource, Objective objective) {
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
