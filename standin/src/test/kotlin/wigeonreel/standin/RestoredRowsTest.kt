package wigeonreel.standin

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Tests that daemons write their rows again after the store came back from a copy that lacks them. */
class RestoredRowsTest {
    private class Case(
        val name: String,
        val domains: Int = 1,
        val steps: MeshFleet.() -> Unit,
    )

    private val MeshFleet.ids get() = vms.indices.map { "d$it" }.toSet()

    private fun MeshFleet.awaitAnnouncements() =
        await("all daemons are announced, ${rowsOf("daemons").keys}") {
            rowsOf("daemons").keys == ids
        }

    private fun MeshFleet.awaitDepartures(count: Int) = await("$count departures are stored") { rowsOf("departures").size == count }

    /**
     * A daemon that was added after a restore found no other daemon in the store, and granted whole account limits beside the
     * coordinator of the others. A daemon that was started again found no departure of its server there, and sent it requests.
     */
    @TestFactory
    fun `rows that the store lost are never written again`() =
        listOf(
            Case("announcements, watchers only", domains = 4) {
                awaitAnnouncements()
                storeFault("restore")
                awaitAnnouncements()
            },
            Case("announcements, also of daemons that do not call the store") {
                awaitAnnouncements()
                storeFault("restore")
                awaitAnnouncements()
            },
            Case("announcements, restored twice") {
                awaitAnnouncements()
                storeFault("restore")
                awaitAnnouncements()
                storeFault("restore")
                awaitAnnouncements()
            },
            Case("announcements written while the store comes back") {
                storeFault("restore")
                awaitAnnouncements()
            },
            Case("departure") {
                awaitAnnouncements()
                storeFault("copy")
                drain(vms[2])
                awaitDepartures(1)
                storeFault("restore")
                awaitDepartures(1)
            },
            Case("departure that an earlier process stored") {
                awaitAnnouncements()
                storeFault("copy")
                drain(vms[2])
                awaitDepartures(1)
                vms[2].restart()
                awaitAnnouncements()
                storeFault("restore")
                awaitDepartures(1)
            },
            Case("departures and announcements") {
                awaitAnnouncements()
                vms.take(3).forEach { drain(it) }
                awaitDepartures(3)
                storeFault("restore")
                awaitDepartures(3)
                awaitAnnouncements()
            },
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                MeshFleet(listOf("front", "back", "back", "back"), domains = case.domains).use { fleet ->
                    fleet.configure(CONFIGURATION)
                    fleet.apply(case.steps)
                }
            }
        }

    private companion object {
        const val CONFIGURATION = """{"version":"1","routes":[],"services":[{"name":"front"},{"name":"back"}]}"""
    }
}
