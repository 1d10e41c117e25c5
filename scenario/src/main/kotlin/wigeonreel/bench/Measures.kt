package wigeonreel.bench

import java.lang.management.ManagementFactory

/** Runs [action] and returns the CPU time that the calling thread used for it, in nanoseconds. */
internal fun cpuNs(action: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    val startedNs = threads.currentThreadCpuTime
    action()
    return threads.currentThreadCpuTime - startedNs
}

/** Returns the heap in use after garbage collection, in bytes. */
internal fun retainedBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GC_ROUNDS = 3
