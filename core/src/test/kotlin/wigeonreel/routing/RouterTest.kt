package wigeonreel.routing

import org.junit.jupiter.api.Test
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
}
