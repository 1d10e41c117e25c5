package wigeonreel.ctl

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import wigeonreel.config.ConfigEdit

class ChangesTest {
    private class Case(
        val text: String,
        val edits: List<ConfigEdit>,
        val malformed: String?,
    )

    @TestFactory
    fun `edits are parsed line by line up to the first malformed line`() =
        listOf(
            Case("# comment\n\nservice/a = {\"name\":\"a\"}", listOf(ConfigEdit("service/a", "{\"name\":\"a\"}")), null),
            Case("key/k =", listOf(ConfigEdit("key/k", null)), null),
            Case("service/a", emptyList(), "service/a"),
            Case("a = b", emptyList(), "a = b"),
        ).map { case -> DynamicTest.dynamicTest(case.text) { expectThat(parseEdits(case.text)).isEqualTo(case.edits to case.malformed) } }

    @Test
    fun `the edit that grants a key does not contain the key itself`() {
        expectThat(grantKey("a", "secret").toString().contains("secret")).isFalse()
    }

    @Test
    fun `JSON is formatted as one path and value per line`() {
        expectThat(toLines("""{"a":{"b":[1,"x"]}}""")).isEqualTo("a.b[0] 1\na.b[1] x")
    }
}
