package wigeonreel.processes

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.single
import strikt.assertions.startsWith
import wigeonreel.platform.SidecarSettings
import wigeonreel.platform.sidecarSettings
import wigeonreel.settings.parseSettings
import java.io.File

class SettingsTemplateTest {
    private val root = File("..").canonicalFile

    /** Renders the template of the deploy file with [bounds], and reads the result as a daemon does. */
    private fun settings(bounds: JsonElement): SidecarSettings? {
        val fields = DaemonProcess("vm", "127.0.0.1", "z", "r", "s", "127.0.0.1:7", root, root).fields()
        val text = renderTemplate(File(root, "deploy/settings.toml").readText(), JsonObject(fields + ("bounds" to bounds)))
        return parseSettings("settings", text) { sidecarSettings() }.getOrNull()
    }

    private fun bounds(vararg changed: Pair<String, String>) = DaemonProcess.BOUNDS + changed

    private fun numbers(bounds: Map<String, String>) = JsonObject(bounds.mapValues { JsonPrimitive(it.value.toDoubleOrNull()) })

    private fun texts(bounds: Map<String, String>) = JsonObject(bounds.mapValues { JsonPrimitive(it.value) })

    private fun list(bounds: Map<String, String>) = JsonArray(bounds.map { JsonPrimitive("${it.key}=${it.value}") })

    private class Form(
        val name: String,
        val of: (Map<String, String>) -> JsonElement,
    )

    /** The platform's page gives the bounds as a list of texts `name=value`; its bench fills them in as a table. */
    @TestFactory
    fun `the bounds of the platform are ignored`() =
        listOf(Form("table of numbers", ::numbers), Form("table of texts", ::texts), Form("list of name=value", ::list)).flatMap { form ->
            listOf("0.5", "2", "4", "6", "10", "60").map { graceS ->
                DynamicTest.dynamicTest("${form.name}, grace period of $graceS s") {
                    val settings =
                        settings(
                            form.of(
                                bounds(
                                    "graceS" to graceS,
                                    "retryBudgetRatio" to "0.35",
                                    "drainS" to "3",
                                    "revokeS" to "4",
                                ),
                            ),
                        )
                    expectThat(settings).isNotNull().and {
                        get { mesh.graceMs }.isEqualTo((graceS.toDouble() * 1_000).toLong())
                        get { mesh.retryRatio }.isEqualTo(0.35)
                        get { mesh.drainMs }.isEqualTo(3_000)
                        get { mesh.keysValidWithoutContactMs }.isEqualTo(4_000)
                        get { warnings }.isEmpty()
                    }
                }
            }
        }

    private class Odd(
        val name: String,
        val bounds: JsonElement,
        val warning: String,
    )

    /** The daemon ended at once on a grace period that is not a number, and never on an infinite one. */
    @TestFactory
    fun `an odd or missing bound is not reported`() =
        listOf("NaN", "Infinity", "-1", "6s", "", "1e300")
            .map { Odd("grace period '$it'", list(bounds("graceS" to it)), "bound graceS is $it; using 6.0") }
            .plus(
                listOf(
                    Odd("no grace period", list(bounds() - "graceS"), "bound graceS is missing; using 6.0"),
                    Odd(
                        "null",
                        JsonObject(texts(bounds()) + ("graceS" to JsonPrimitive(null as String?))),
                        "bound graceS is null; using 6.0",
                    ),
                    Odd(
                        "a table as value",
                        JsonObject(texts(bounds()) + ("graceS" to JsonObject(emptyMap()))),
                        "bound graceS is {}; using 6.0",
                    ),
                    Odd("no name", JsonArray(list(bounds()) + JsonPrimitive("7")), "bound '7' has no name and is ignored"),
                    Odd("unknown name", list(bounds("newS" to "1")), "bound newS is unknown and ignored"),
                ),
            ).map { odd ->
                DynamicTest.dynamicTest(odd.name) {
                    expectThat(settings(odd.bounds)).isNotNull().and {
                        get { mesh.graceMs }.isEqualTo(6_000)
                        get { warnings }.single().startsWith(odd.warning)
                    }
                }
            }.plus(
                DynamicTest.dynamicTest("no bounds at all") {
                    expectThat(settings(JsonPrimitive(null as String?))).isNotNull().get { warnings }.hasSize(5)
                },
            )
}
