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
        val fault: String?,
    )

    @TestFactory
    fun `edits are read line by line`() =
        listOf(
            Case("# comment\n\nservice/a = {\"name\":\"a\"}", listOf(ConfigEdit("service/a", "{\"name\":\"a\"}")), null),
            Case("key/k =", listOf(ConfigEdit("key/k", null)), null),
            Case("service/a", emptyList(), "service/a"),
            Case("a = b", emptyList(), "a = b"),
        ).map { case -> DynamicTest.dynamicTest(case.text) { expectThat(parseEdits(case.text)).isEqualTo(case.edits to case.fault) } }

    @Test
    fun `a granted key leaves the process as a hash only`() {
        expectThat(grantKey("a", "secret").toString().contains("secret")).isFalse()
    }

    @Test
    fun `JSON is shown as lines for a person`() {
        expectThat(toLines("""{"a":{"b":[1,"x"]}}""")).isEqualTo("a.b[0] 1\na.b[1] x")
    }
}
