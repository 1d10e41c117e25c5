package wigeonreel.soak

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains

class SoakTest {
    private class Clean(
        val name: String,
        val run: (Long) -> Unit,
    )

    @TestFactory
    fun `randomised runs find no violation`() =
        listOf(
            Clean("once") { OnceSoak(it).run(200_000) },
            Clean("limit") { LimitSoak(it).run(40_000) },
            Clean("limit with isolated daemons") { LimitSoak(it, faults = LimitFaults.ISOLATION).run(40_000) },
            Clean("retry") { RetrySoak(it).run(2_000) },
            Clean("config") { ConfigSoak(it).run(60_000) },
        ).flatMap { case -> (1L..3L).map { seed -> DynamicTest.dynamicTest("${case.name} seed $seed") { case.run(seed) } } }

    private class Broken(
        val name: String,
        val checks: Set<String>,
        val run: (Long) -> Unit,
    )

    /** A run that leaves a mechanism out must fail, or its check shows nothing. */
    @TestFactory
    fun `a mechanism left out is noticed`() =
        listOf(
            Broken("former homes are not asked", ONCE_CHECKS) { OnceSoak(it, OnceSabotage.NO_ASKING).run(300_000) },
            Broken("a restarted home forgets that it forgot", ONCE_CHECKS) { OnceSoak(it, OnceSabotage.NO_RESTART_RULE).run(300_000) },
            Broken("a home acts without proof", ONCE_CHECKS) { OnceSoak(it, OnceSabotage.NO_TENURE).run(600_000) },
            Broken(
                "a holder lends without proof",
                LIMIT_CHECKS,
            ) { LimitSoak(it, LimitSabotage.NO_TENURE, LimitFaults.ISOLATION).run(60_000) },
            Broken("loans are used too long", LIMIT_CHECKS) { LimitSoak(it, LimitSabotage.LOANS_FROM_RECEIPT).run(60_000) },
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val violation =
                    (1L..10L).firstNotNullOfOrNull { seed ->
                        runCatching { case.run(seed) }.exceptionOrNull() as? InvariantViolation
                    }
                expectThat(case.checks).contains(violation?.check.orEmpty())
            }
        }

    private companion object {
        val ONCE_CHECKS = setOf("at-most-once", "not-run-is-true", "spent-never-runs", "kept-outcome")
        val LIMIT_CHECKS = setOf("rate-and-burst")
    }
}
