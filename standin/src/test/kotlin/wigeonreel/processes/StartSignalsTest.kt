package wigeonreel.processes

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isTrue
import java.io.File
import java.io.FileOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Sends signals to a daemon that is starting: its settings file is a named pipe, so it waits at a known step. */
class StartSignalsTest {
    @TempDir
    lateinit var work: File
    private val root = File("..").canonicalFile
    private val pipe by lazy { File(work, "settings").also { check(ProcessBuilder("mkfifo", it.path).start().waitFor() == 0) } }
    private val log by lazy { File(work, "log") }
    private var process: Process? = null

    @AfterEach
    fun stop() {
        process?.destroyForcibly()?.waitFor()
    }

    private fun start(): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command = listOf(java, "-cp", System.getProperty("java.class.path"), "wigeonreel.platform.MainKt")
        val builder = ProcessBuilder(DaemonProcess.WITH_DEFAULT_SIGNALS + command)
        builder.environment()["WIGEONREEL_BOOT"] = pipe.path
        return builder
            .redirectErrorStream(true)
            .redirectOutput(log)
            .start()
            .also { process = it }
    }

    /** Returns the pipe once the daemon has opened it to read its settings. */
    private fun awaitReader(): FileOutputStream {
        val opened = CompletableFuture<FileOutputStream>()
        thread(isDaemon = true) { opened.complete(FileOutputStream(pipe)) }
        return opened.get(TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun settings(graceS: Int = 6): ByteArray {
        val ip = "127.220.${ProcessHandle.current().pid() / 250 % 250}.${1 + ProcessHandle.current().pid() % 250}"
        val daemon = DaemonProcess("vm", ip, "z", "r", "s", "$ip:7", root, work, DaemonProcess.BOUNDS + ("graceS" to "$graceS"))
        return renderTemplate(File(root, "deploy/settings.toml").readText(), daemon.fields()).encodeToByteArray()
    }

    private fun awaitLogged(text: String) {
        val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
        while (text !in log.readText() && System.nanoTime() < untilNs) Thread.sleep(20)
        expectThat(log.readText()).contains(text)
    }

    @Test
    fun `SIGHUP ends a daemon that is starting, or its new grace period is ignored`() {
        val daemon = start()
        awaitReader().use {
            ProcessBuilder("kill", "-HUP", daemon.pid().toString()).start().waitFor()
            it.write(settings())
        }
        awaitLogged("\"event\":\"start\"")
        awaitReader().use { it.write(settings(graceS = 9)) }
        awaitLogged("\"event\":\"reload\"")
        awaitLogged("graceMs=9000")
        expectThat(daemon.isAlive).isTrue()
    }

    @Test
    fun `SIGTERM leaves a daemon that is starting running`() {
        val daemon = start()
        awaitReader().use { daemon.destroy() }
        expectThat(daemon.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue()
    }

    private companion object {
        const val TIMEOUT_S = 30L
    }
}
