package org.chicorylane.standin.database;

import java.time.InstantSource;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** What a group was built with. */
record GroupOptions(
    String name,
    int servers,
    int firstPort,
    List<String> zones,
    int slots,
    int connections,
    @Nullable String password,
    List<String> schema,
    InstantSource clock) {}
