package wigeonreel.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import wigeonreel.place.Distance
import kotlin.random.Random

class RouterTest {
    private val near = Candidate("near", Distance.SAME_FAILURE_DOMAIN, 10)
    private val region = Candidate("region", Distance.SAME_REGION, 10)
    private val far = Candidate("far", Distance.OTHER_REGION, 10)
    private val all = listOf(far, region, near)
    private val router = Router(Random(1))

    private fun chosen(candidates: List<Candidate> = all, tried: Set<String> = emptySet(), nowMs: Long = 0) =
        (router.choose(candidates, tried, nowMs) as? RouteDecision.To)?.daemon

    @Test
    fun `the nearest server is chosen unless it was tried or is loaded`() {
        expectThat(chosen()).isEqualTo("near")
        expectThat(chosen(tried = setOf("near"))).isEqualTo("region")
        repeat(9) { router.onSent("near") }
        expectThat(chosen()).isEqualTo("region")
    }

    @Test
    fun `the load carried on a reply expires`() {
        router.onSent("near")
        router.onReply("near", inFlight = 10, limit = 10, nowMs = 0)
        expectThat(chosen(nowMs = 100)).isEqualTo("region")
        expectThat(chosen(nowMs = 300)).isEqualTo("near")
    }

    @Test
    fun `a server with two failures in a row is ejected and later chosen again`() {
        repeat(2) {
            router.onSent("near")
            router.onFailure("near", 0)
        }
        expectThat(chosen(nowMs = 100)).isNotEqualTo("near")
        expectThat(chosen(nowMs = 1_000)).isEqualTo("near")
    }

    @Test
    fun `at most half of the servers are ejected`() {
        listOf("near", "region").forEach { id ->
            repeat(2) {
                router.onSent(id)
                router.onFailure(id, 0)
            }
        }
        expectThat(chosen(listOf(near, region), nowMs = 100)).isEqualTo("near")
    }

    @Test
    fun `without candidates the decision is NoServer`() {
        expectThat(router.choose(emptyList(), emptySet(), 0)).isA<RouteDecision.NoServer>()
    }

    private fun Router.learn(daemon: String, serviceMs: Double?, nowMs: Long) {
        onSent(daemon)
        onReply(daemon, inFlight = 0, limit = 10, nowMs)
        onReport(daemon, "read", ServerReport(serviceMs, offeredLoad = 0.5))
    }

    private class SpeedCase(
        val name: String,
        val nearMs: Double?,
        val regionMs: Double?,
        val chosen: String,
        val nowMs: Long = 0,
    )

    /** Load pattern: some servers become many times slower; few of their answers are in time, and their slots look free. */
    @TestFactory
    fun `a server many times slower than another is avoided until its report is old`() =
        listOf(
            SpeedCase("as fast", 50.0, 50.0, "near"),
            SpeedCase("twice as slow is better than farther away", 100.0, 50.0, "near"),
            SpeedCase("twelve times as slow", 600.0, 50.0, "region"),
            SpeedCase("no report of the other", 600.0, null, "near"),
            SpeedCase("an old report", 600.0, 50.0, "near", nowMs = 3_500),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val router = Router(Random(1))
                router.learn("near", case.nearMs, 0)
                router.learn("region", case.regionMs, 0)
                val decision = router.choose(listOf(near, region), emptySet(), case.nowMs, "read")
                expectThat((decision as? RouteDecision.To)?.daemon).isEqualTo(case.chosen)
            }
        }

    @Test
    fun `the load of a service is that of the servers that replied lately`() {
        router.learn("near", 50.0, 0)
        expectThat(router.offeredLoad(all, 100)).isEqualTo(0.5)
        expectThat(router.offeredLoad(all, 2_500)).isEqualTo(0.0)
    }
}
