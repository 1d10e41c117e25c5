package wigeonreel.kernel

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.CopyOnWriteArrayList

class EventLogTest {
    private val lines = CopyOnWriteArrayList<String>()

    @Test
    fun `a line is a single JSON object with escaped values`() {
        val log = EventLog { lines += it }
        log.start()
        log.write("e", 7) {
            put("text", "a \"b\" \\ \n c")
            put("nothing", null)
            put("whole", 3L)
            put("share", 0.126)
            put("flag", true)
        }
        log.stop()
        expectThat(lines).containsExactly("""{"timeMs":7,"event":"e","text":"a \"b\" \\   c","whole":3,"share":0.13,"flag":true}""")
    }

    @Test
    fun `a full queue drops lines without blocking, and the drops are counted and logged`() {
        val log = EventLog(capacity = 8) { lines += it }
        repeat(20) { log.write("e", it.toLong()) }
        expectThat(log.dropped).isEqualTo(12)
        log.start()
        log.stop()
        expectThat(lines.last()).contains("\"event\":\"log-dropped\",\"lines\":12")
    }
}
