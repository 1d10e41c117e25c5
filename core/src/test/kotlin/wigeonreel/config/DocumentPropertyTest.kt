package wigeonreel.config

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange

/** Mutations of a valid document give a document or a typed error, never an exception. */
class DocumentPropertyTest {
    private val valid =
        """{"version":3,"operations":[{"id":"x","version":3}],"entries":[{"name":"account/a","value":"{\"name\":\"a\",\"ratePerSecond\":1,\"burst\":1}","version":3}]}"""

    @Property(seed = "20261204", tries = 2_000)
    fun changedCharacter(
        @ForAll @IntRange(min = 0, max = 120) at: Int,
        @ForAll replacement: Char,
    ): Boolean = read(valid.replaceRange(at, at + 1, replacement.toString()))

    @Property(seed = "20261204", tries = 500)
    fun cutDocument(
        @ForAll @IntRange(min = 0, max = 150) length: Int,
    ): Boolean = read(valid.take(length))

    private fun read(text: String): Boolean =
        parseDocument(text).fold({
            it.message.isNotEmpty()
        }, { ConfigReplica().offer(it).toString().isNotEmpty() })
}
