package wigeonreel.key

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import wigeonreel.config.ConfigEdit
import wigeonreel.config.Configuration
import wigeonreel.outcome.Refusal

class KeyCheckTest {
    private class Case(
        val name: String,
        val key: String?,
        val open: Boolean,
        val account: String?,
        val refusal: Refusal?,
    )

    private val hash = KeyHash.of("secret").hex
    private val granted =
        Configuration.EMPTY
            .plan(
                listOf(
                    ConfigEdit("account/a", """{"name":"a","ratePerSecond":1,"burst":1}"""),
                    ConfigEdit("key/$hash", """{"hash":"$hash","account":"a"}"""),
                ),
            ).getOrNull()!!

    @TestFactory
    fun `a request is assigned to the account of its key or refused`() =
        listOf(
            Case("granted key", "secret", false, "a", null),
            Case("granted key on an open route", "secret", true, "a", null),
            Case("wrong key", "other", false, null, Refusal.KEY_INVALID),
            Case("wrong key on an open route", "other", true, null, Refusal.KEY_INVALID),
            Case("no key", null, false, null, Refusal.KEY_MISSING),
            Case("no key on an open route", null, true, "anonymous", null),
            Case("empty key on an open route", "", true, null, Refusal.KEY_INVALID),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val checked = checkKey(case.key, case.open, granted)
                expectThat(checked.getOrNull()?.name).isEqualTo(case.account)
                expectThat(checked.leftOrNull()).isEqualTo(case.refusal)
            }
        }

    @Test
    fun `a withdrawn key is refused`() {
        val withdrawn = granted.plan(listOf(ConfigEdit("key/$hash", null))).getOrNull()!!
        expectThat(checkKey("secret", true, withdrawn).leftOrNull()).isEqualTo(Refusal.KEY_INVALID)
    }

    @Test
    fun `toString does not contain the complete key hash`() {
        expectThat(KeyHash.of("secret").toString().contains(hash)).isFalse()
    }
}
