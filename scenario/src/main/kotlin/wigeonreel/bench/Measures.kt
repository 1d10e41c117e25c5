package wigeonreel.bench

import java.lang.management.ManagementFactory

/** Returns the CPU time of the calling thread that [action] took, in nanoseconds. */
internal fun cpuNs(action: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    val startedNs = threads.currentThreadCpuTime
    action()
    return threads.currentThreadCpuTime - startedNs
}

/** Returns the heap in use after a collection, in bytes. */
internal fun retainedBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GC_ROUNDS = 3
