package org.chicorylane.bench.demo;

import java.util.ArrayList;
import java.util.List;

/** The schema and the insert statements of the demo and the load tools. */
public final class SessionSchema {
  /** The number of plans; each session of a group uses the plan of its own index. */
  public static final int PLANS = 100;

  /** Inserts a check-in; the parameters are its identifier and the plan's identifier. */
  public static final String CHECK_IN = "INSERT INTO check_in (id, plan_id) VALUES ($1, $2)";

  /** Inserts a billing change; the parameters are its identifier, the plan's, and the amount. */
  public static final String BILLING =
      "INSERT INTO billing (id, plan_id, amount) VALUES ($1, $2, $3)";

  /** The statements that create the tables and insert the plans. */
  public static final List<String> STATEMENTS = statements();

  private SessionSchema() {}

  private static List<String> statements() {
    List<String> all = new ArrayList<>();
    all.add("CREATE TABLE plan (id int PRIMARY KEY, version bigint NOT NULL)");
    all.add("CREATE TABLE check_in (id varchar(80) NOT NULL, plan_id int NOT NULL)");
    all.add(
        "CREATE TABLE billing (id varchar(80) NOT NULL, plan_id int NOT NULL,"
            + " amount bigint NOT NULL)");
    all.add("CREATE TABLE renewals (plan bigint, note text)");
    for (int i = 0; i < PLANS; i++) {
      all.add("INSERT INTO plan (id, version) VALUES (" + i + ", 0)");
    }
    return List.copyOf(all);
  }
}
