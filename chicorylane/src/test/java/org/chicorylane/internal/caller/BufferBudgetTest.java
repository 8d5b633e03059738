package org.chicorylane.internal.caller;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/**
 * Checks with Lincheck that concurrent use of the budget is linearizable. A race could exceed the
 * limit, or reject bytes that fit.
 */
@Param(name = "bytes", gen = IntGen.class, conf = "1:3")
public final class BufferBudgetTest {
  private static final int LIMIT = 4;

  private final BufferBudget budget = new BufferBudget(LIMIT);

  @Operation
  public boolean tryAcquire(@Param(name = "bytes") int bytes) {
    return budget.tryAcquire(bytes);
  }

  @Operation
  public long acquired() {
    return budget.acquired();
  }

  @Test
  void testConcurrentTakesAreLinearizable() {
    new ModelCheckingOptions()
        .threads(3)
        .actorsPerThread(2)
        .iterations(20)
        .invocationsPerIteration(300)
        .check(BufferBudgetTest.class);
  }
}
