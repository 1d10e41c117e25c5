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
    private class Match(
        val selector: String,
        val expected: Boolean?,
    )

    private val labels = mapOf("request.method" to "POST", "request.path" to "/book/7", "account.tier" to "gold")

    @TestFactory
    fun `selectors match labels or are refused`() =
        listOf(
            Match("", true),
            Match("request.method=POST", true),
            Match("request.method = POST , account.tier=gold", true),
            Match("request.method!=POST", false),
            Match("missing!=x", true),
            Match("request.path^=/book", true),
            Match("account.tier in (silver|gold)", true),
            Match("account.tier in (silver)", false),
            Match("account.tier", null),
            Match("=x", null),
            Match("a=b,,c=d", null),
        ).map { case ->
            DynamicTest.dynamicTest("'${case.selector}'") {
                expectThat(parseSelector(case.selector).getOrNull()?.matches(labels)).isEqualTo(case.expected)
            }
        }

    private class Rated(
        val method: String,
        val path: String,
        val expected: Classification,
    )

    @TestFactory
    fun `the first matching rule decides, and only safe methods are idempotent without one`() =
        listOf(
            Rated("GET", "/x", Classification("default", Worth.NORMAL, Harm.IDEMPOTENT, open = false)),
            Rated("POST", "/x", Classification("default", Worth.NORMAL, Harm.AT_MOST_ONCE, open = false)),
            Rated("POST", "/book", Classification("book", Worth.CRITICAL, Harm.AT_MOST_ONCE, open = false)),
            Rated("POST", "/search", Classification("search", Worth.BACKGROUND, Harm.IDEMPOTENT, open = true)),
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
