package org.chicorylane.bench.load;

import com.sun.management.OperatingSystemMXBean;
import io.netty.buffer.PooledByteBufAllocator;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Reads the processor time and the memory that this process uses, and the load average. */
final class ProcessUsage {
  private static final String STAND_IN_THREADS = "standin-";
  private static final int COLLECTIONS = 3;
  private static final Duration COLLECTION_PAUSE = Duration.ofMillis(200);

  private ProcessUsage() {}

  /** Returns the processor time that this process has used so far, in nanoseconds. */
  static long cpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Returns the processor time of the live threads of stand-in servers, in nanoseconds. */
  static long standInCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (info != null && info.getThreadName().startsWith(STAND_IN_THREADS)) {
        sum += Math.max(0, threads.getThreadCpuTime(info.getThreadId()));
      }
    }
    return sum;
  }

  /** Returns the computer's load average over one minute. */
  static double loadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  /** Returns the heap memory in use after several garbage collections, in bytes. */
  static long heapBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      TimeUnit.NANOSECONDS.sleep(COLLECTION_PAUSE.toNanos());
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the memory of direct buffers, including those of Netty's pool, in bytes. */
  static long directBytes() {
    long buffers =
        ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .filter(b -> b.getName().equals("direct"))
            .mapToLong(BufferPoolMXBean::getMemoryUsed)
            .sum();
    return buffers + PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
  }
}
