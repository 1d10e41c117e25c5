package wigeonreel.settings

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.nio.file.Path

class SettingsReaderTest {
    private class Case(
        val name: String,
        val text: String,
        val message: String,
    )

    private fun SettingsReader.build() = listOf(text("id"), port("listen.port").toString(), flag("log.on", true).toString())

    @TestFactory
    fun `each error message contains the file, the key, the value found and the remedy`() =
        listOf(
            Case("missing key", "[listen]\nport = 1", "f.toml: id is missing; set it to a text"),
            Case("wrong type", "id = 3\n[listen]\nport = 1", "f.toml: id is 3; set it to a text"),
            Case(
                "out of range",
                "id = 'x'\n[listen]\nport = 70000",
                "f.toml: listen.port is 70000; set it to a whole number from 1 to 65535",
            ),
            Case("unknown key", "id = 'x'\nidd = 'y'\n[listen]\nport = 1", "f.toml: idd is not a setting; remove it or correct its name"),
            Case("invalid TOML", "id = ", "f.toml:1:"),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val messages = parseSettings("f.toml", case.text) { build() }.leftOrNull().orEmpty().map { it.message }
                expectThat(messages.joinToString("\n")).contains(case.message)
            }
        }

    @Test
    fun `all errors are reported at once`() {
        expectThat(parseSettings("f.toml", "idd = 1\n[log]\non = 2") { build() }.leftOrNull().orEmpty()).hasSize(4)
    }

    @Test
    fun `valid settings are read`() {
        expectThat(parseSettings("f.toml", "id = 'x'\n[listen]\nport = 1") { build() }.getOrNull()).isEqualTo(listOf("x", "1", "true"))
    }

    @Test
    fun `an unreadable file is reported`() {
        expectThat(
            readSettings(Path.of("no-such-file.toml")) { build() }
                .leftOrNull()
                ?.single()
                ?.message
                .orEmpty(),
        ).contains("can't be read")
    }
}
