package wigeonreel.config

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange

/** Checks that a mutated document is parsed or refused with a typed error and never throws an exception. */
class DocumentPropertyTest {
    private val valid =
        """{"version":3,"operations":[{"id":"x","version":3}],"entries":[{"name":"account/a","value":"{\"name\":\"a\",\"ratePerSecond\":1,\"burst\":1}","version":3}]}"""

    @Property(seed = "20261204", tries = 2_000)
    fun changedCharacter(
        @ForAll @IntRange(min = 0, max = 120) at: Int,
        @ForAll replacement: Char,
    ): Boolean = parsesOrRefuses(valid.replaceRange(at, at + 1, replacement.toString()))

    @Property(seed = "20261204", tries = 500)
    fun truncatedDocument(
        @ForAll @IntRange(min = 0, max = 150) length: Int,
    ): Boolean = parsesOrRefuses(valid.take(length))

    private fun parsesOrRefuses(text: String): Boolean =
        parseDocument(text).fold({
            it.message.isNotEmpty()
        }, { ConfigReplica().offer(it).toString().isNotEmpty() })
}
