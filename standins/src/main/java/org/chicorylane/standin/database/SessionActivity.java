package org.chicorylane.standin.database;

/** What {@code pg_stat_activity} tells of a session. */
record SessionActivity(int pid, String applicationName, String state) {}
