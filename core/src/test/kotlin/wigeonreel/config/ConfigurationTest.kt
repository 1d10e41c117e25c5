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
    private class RefusedEdit(
        val name: String,
        val edit: ConfigEdit,
        val messagePart: String,
    )

    private val account = ConfigEdit("account/a", """{"name":"a","ratePerSecond":10,"burst":10}""")
    private val configured = Configuration.EMPTY.plan(listOf(account)).getOrNull()!!

    @TestFactory
    fun `an invalid edit is refused with a message that contains the remedy`() =
        listOf(
            RefusedEdit("unknown kind", ConfigEdit("acount/a", "{}"), "use account/"),
            RefusedEdit("invalid JSON", ConfigEdit("account/a", "{"), "give the JSON"),
            RefusedEdit("negative rate", ConfigEdit("account/a", """{"name":"a","ratePerSecond":-1,"burst":1}"""), "ratePerSecond must be"),
            RefusedEdit("negative burst", ConfigEdit("account/a", """{"name":"a","ratePerSecond":1,"burst":-1}"""), "burst must be"),
            RefusedEdit(
                "zero weight",
                ConfigEdit("account/a", """{"name":"a","ratePerSecond":1,"burst":1,"weight":0}"""),
                "weight must be",
            ),
            RefusedEdit("key of an unknown account", ConfigEdit("key/h", """{"hash":"h","account":"b"}"""), "add account/b first"),
            RefusedEdit("invalid selector", ConfigEdit("rule/r", """{"name":"r","order":1,"selector":"a=="}"""), "write conditions as"),
            RefusedEdit("unknown worth", ConfigEdit("rule/r", """{"name":"r","order":1,"selector":"","worth":"huge"}"""), "give the JSON"),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val error = configured.plan(listOf(case.edit)).leftOrNull()
                expectThat(error?.message.orEmpty()).contains(case.messagePart)
            }
        }

    @Test
    fun `a removed entry is absent and its tombstone is part of the delta`() {
        val removed = configured.plan(listOf(ConfigEdit("account/a", null))).getOrNull()!!
        expectThat(removed.accounts["a"]).isNull()
        expectThat(removed.deltaSince(1).entries).isEqualTo(listOf(ConfigEntry("account/a", null, 2)))
    }

    @Test
    fun `a document round-trips through JSON with its latest operations`() {
        val document = configured.toDocument("second", listOf(ConfigOperation("first", 0)))
        expectThat(parseDocument(document.toJson()).getOrNull()).isEqualTo(document)
        expectThat(document.operations.map { it.id }).isEqualTo(listOf("first", "second"))
    }

    private class OfferCase(
        val name: String,
        val from: Long,
        val to: Long,
        val expected: ConfigOffer,
    )

    @TestFactory
    fun `a replica applies only higher versions without a gap`() =
        listOf(
            OfferCase("next version", 1, 2, ConfigOffer.Applied(2)),
            OfferCase("delta over several versions", 1, 5, ConfigOffer.Applied(5)),
            OfferCase("same version", 0, 1, ConfigOffer.Stale(1)),
            OfferCase("older version", 0, 0, ConfigOffer.Stale(1)),
            OfferCase("gap", 2, 3, ConfigOffer.Gap(1)),
            OfferCase("complete document", 0, 9, ConfigOffer.Applied(9)),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val replica = ConfigReplica()
                replica.offer(ConfigDelta(0, 1, emptyList()))
                expectThat(replica.offer(ConfigDelta(case.from, case.to, emptyList()))).isEqualTo(case.expected)
            }
        }

    @Test
    fun `an entry that can't be parsed leaves the replica unchanged`() {
        val replica = ConfigReplica()
        replica.offer(configured.toDocument("op"))
        expectThat(replica.offer(ConfigDelta(1, 2, listOf(ConfigEntry("account/b", "{", 2))))).isA<ConfigOffer.Invalid>()
        expectThat(replica.current.version).isEqualTo(1)
    }
}
