package wigeonreel.config

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ConfigurationTest {
    private class Refused(
        val name: String,
        val edit: ConfigEdit,
        val messagePart: String,
    )

    private val account = ConfigEdit("account/a", """{"name":"a","ratePerSecond":10,"burst":10}""")
    private val configured = Configuration.EMPTY.plan(listOf(account)).getOrNull()!!

    @TestFactory
    fun `a bad edit is refused with a message that names the remedy`() =
        listOf(
            Refused("unknown kind", ConfigEdit("acount/a", "{}"), "use account/"),
            Refused("no JSON", ConfigEdit("account/a", "{"), "give the JSON"),
            Refused("negative rate", ConfigEdit("account/a", """{"name":"a","ratePerSecond":-1,"burst":1}"""), "ratePerSecond must be"),
            Refused("no burst", ConfigEdit("account/a", """{"name":"a","ratePerSecond":1,"burst":-1}"""), "burst must be"),
            Refused("no weight", ConfigEdit("account/a", """{"name":"a","ratePerSecond":1,"burst":1,"weight":0}"""), "weight must be"),
            Refused("key of nobody", ConfigEdit("key/h", """{"hash":"h","account":"b"}"""), "add account/b first"),
            Refused("bad selector", ConfigEdit("rule/r", """{"name":"r","order":1,"selector":"a=="}"""), "write conditions as"),
            Refused("unknown worth", ConfigEdit("rule/r", """{"name":"r","order":1,"selector":"","worth":"huge"}"""), "give the JSON"),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val error = configured.plan(listOf(case.edit)).leftOrNull()
                expectThat(error?.message.orEmpty()).contains(case.messagePart)
            }
        }

    @Test
    fun `a removed entry is gone and its tombstone travels in the delta`() {
        val removed = configured.plan(listOf(ConfigEdit("account/a", null))).getOrNull()!!
        expectThat(removed.accounts["a"]).isNull()
        expectThat(removed.deltaSince(1).entries).isEqualTo(listOf(ConfigEntry("account/a", null, 2)))
    }

    @Test
    fun `a document keeps the latest operations`() {
        val document = configured.toDocument("second", listOf(ConfigOperation("first", 0)))
        expectThat(parseDocument(document.toJson()).getOrNull()).isEqualTo(document)
        expectThat(document.operations.map { it.id }).isEqualTo(listOf("first", "second"))
    }

    private class Offer(
        val name: String,
        val from: Long,
        val to: Long,
        val expected: ConfigOffer,
    )

    @TestFactory
    fun `a replica moves only to higher versions that follow on`() =
        listOf(
            Offer("next", 1, 2, ConfigOffer.Applied(2)),
            Offer("skips inside the delta", 1, 5, ConfigOffer.Applied(5)),
            Offer("same", 0, 1, ConfigOffer.Stale(1)),
            Offer("older", 0, 0, ConfigOffer.Stale(1)),
            Offer("gap", 2, 3, ConfigOffer.Gap(1)),
            Offer("whole", 0, 9, ConfigOffer.Applied(9)),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val replica = ConfigReplica()
                replica.offer(ConfigDelta(0, 1, emptyList()))
                expectThat(replica.offer(ConfigDelta(case.from, case.to, emptyList()))).isEqualTo(case.expected)
            }
        }

    @Test
    fun `an entry that can't be read leaves the replica as it was`() {
        val replica = ConfigReplica()
        replica.offer(configured.toDocument("op"))
        expectThat(replica.offer(ConfigDelta(1, 2, listOf(ConfigEntry("account/b", "{", 2))))).isA<ConfigOffer.Invalid>()
        expectThat(replica.current.version).isEqualTo(1)
    }
}
