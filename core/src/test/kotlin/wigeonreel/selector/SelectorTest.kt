package wigeonreel.selector

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.config.ConfigEdit
import wigeonreel.config.Configuration
import wigeonreel.config.Harm
import wigeonreel.config.ServiceConfig
import wigeonreel.config.Worth

class SelectorTest {
    private class MatchCase(
        val selector: String,
        val expected: Boolean?,
    )

    private val labels = mapOf("request.method" to "POST", "request.path" to "/book/7", "account.tier" to "gold")

    @TestFactory
    fun `selectors match labels or are refused`() =
        listOf(
            MatchCase("", true),
            MatchCase("request.method=POST", true),
            MatchCase("request.method = POST , account.tier=gold", true),
            MatchCase("request.method!=POST", false),
            MatchCase("missing!=x", true),
            MatchCase("request.path^=/book", true),
            MatchCase("account.tier in (silver|gold)", true),
            MatchCase("account.tier in (silver)", false),
            MatchCase("account.tier", null),
            MatchCase("=x", null),
            MatchCase("a=b,,c=d", null),
        ).map { case ->
            DynamicTest.dynamicTest("'${case.selector}'") {
                expectThat(parseSelector(case.selector).getOrNull()?.matches(labels)).isEqualTo(case.expected)
            }
        }

    private class ClassifyCase(
        val method: String,
        val path: String,
        val expected: Classification,
    )

    @TestFactory
    fun `the first matching rule applies, and without one only safe methods are idempotent`() =
        listOf(
            ClassifyCase("GET", "/x", Classification("default", Worth.NORMAL, Harm.IDEMPOTENT, open = false)),
            ClassifyCase("POST", "/x", Classification("default", Worth.NORMAL, Harm.AT_MOST_ONCE, open = false)),
            ClassifyCase("POST", "/book", Classification("book", Worth.CRITICAL, Harm.AT_MOST_ONCE, open = false)),
            ClassifyCase("POST", "/search", Classification("search", Worth.BACKGROUND, Harm.IDEMPOTENT, open = true)),
        ).map { case ->
            DynamicTest.dynamicTest("${case.method} ${case.path}") {
                expectThat(rules().classify(labelsOf(case.method, case.path, ServiceConfig("s")))).isEqualTo(case.expected)
            }
        }

    private fun rules(): Configuration {
        val book = """{"name":"book","order":1,"selector":"request.path=/book","worth":"critical"}"""
        val late = """{"name":"late","order":9,"selector":"request.path^=/book","worth":"background"}"""
        val search = """{"name":"search","order":2,"selector":"request.path=/search","worth":"background","harm":"none","open":true}"""
        val edits = listOf(ConfigEdit("rule/late", late), ConfigEdit("rule/book", book), ConfigEdit("rule/search", search))
        return Configuration.EMPTY.plan(edits).getOrNull()!!
    }
}
