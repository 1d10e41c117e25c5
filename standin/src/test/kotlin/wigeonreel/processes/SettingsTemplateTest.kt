package wigeonreel.processes

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import wigeonreel.platform.SidecarSettings
import wigeonreel.platform.sidecarSettings
import wigeonreel.settings.parseSettings
import java.io.File

class SettingsTemplateTest {
    private val root = File("..").canonicalFile

    private fun settings(bounds: Map<String, String>): SidecarSettings? {
        val fields = DaemonProcess("vm", "127.0.0.1", "z", "r", "s", "127.0.0.1:7", root, root, bounds).fields()
        val text = renderTemplate(File(root, "deploy/settings.toml").readText(), fields)
        return parseSettings("settings", text) { sidecarSettings() }.getOrNull()
    }

    @TestFactory
    fun `the grace period and the retry ratio of the platform are ignored`() =
        listOf("4", "6", "10").map { graceS ->
            DynamicTest.dynamicTest("grace period of $graceS s") {
                val settings = settings(DaemonProcess.BOUNDS + ("graceS" to graceS) + ("retryBudgetRatio" to "0.35"))
                expectThat(settings).isNotNull().and {
                    get { mesh.graceMs }.isEqualTo(graceS.toLong() * 1_000)
                    get { mesh.retryRatio }.isEqualTo(0.35)
                    get { warnings }.isEmpty()
                }
            }
        }

    @Test
    fun `a missing grace period is not reported`() {
        expectThat(settings(DaemonProcess.BOUNDS - "graceS")?.warnings).isEqualTo(listOf("bound graceS is missing; using 6.0"))
    }
}
