package org.chicorylane.internal.election.model;

/** What a number of a step stands for. */
enum Range {
  /** Nothing; there is one value. */
  NOTHING {
    @Override
    int size(ModelRules rules) {
      return 1;
    }

    @Override
    String name(int index) {
      return "";
    }
  },
  INSTANCE {
    @Override
    int size(ModelRules rules) {
      return rules.bounds().instances();
    }

    @Override
    String name(int index) {
      return "instance " + "ABC".charAt(index);
    }
  },
  /** No instance (0), or an instance, numbered from 1 here. */
  INSTANCE_OR_NONE {
    @Override
    int size(ModelRules rules) {
      return rules.bounds().instances() + 1;
    }

    @Override
    String name(int index) {
      return index == 0 ? "no instance" : INSTANCE.name(index - 1);
    }
  },
  SERVER {
    @Override
    int size(ModelRules rules) {
      return ModelState.SERVERS;
    }

    @Override
    String name(int index) {
      return "server " + "PXY".charAt(index);
    }
  },
  /** A commit, numbered from 0 here. */
  COMMIT {
    @Override
    int size(ModelRules rules) {
      return rules.bounds().commits();
    }

    @Override
    String name(int index) {
      return "commit " + (index + 1);
    }
  },
  /** Whether work belongs to the present pool (0) or to a retired one (1). */
  POOL {
    @Override
    int size(ModelRules rules) {
      return 2;
    }

    @Override
    String name(int index) {
      return index == 0 ? "its pool" : "its retired pool";
    }
  };

  abstract int size(ModelRules rules);

  abstract String name(int index);
}
