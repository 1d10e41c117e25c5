package wigeonreel.soak

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains

class SoakTest {
    private class CleanCase(
        val name: String,
        val run: (Long) -> Unit,
    )

    @TestFactory
    fun `randomised runs violate no invariant`() =
        listOf(
            CleanCase("once") { OnceSoak(it).run(200_000) },
            CleanCase("limit") { LimitSoak(it).run(40_000) },
            CleanCase("limit with isolated daemons") { LimitSoak(it, faults = LimitFaults.ISOLATION).run(40_000) },
            CleanCase("retry") { RetrySoak(it).run(2_000) },
            CleanCase("config") { ConfigSoak(it).run(60_000) },
        ).flatMap { case -> (1L..3L).map { seed -> DynamicTest.dynamicTest("${case.name} seed $seed") { case.run(seed) } } }

    private class DefectCase(
        val name: String,
        val checks: Set<String>,
        val run: (Long) -> Unit,
    )

    /** Guards the checks themselves: a check that passes without the mechanism it tests proves nothing. */
    @TestFactory
    fun `a disabled mechanism is detected`() =
        listOf(
            DefectCase("no block requests to former homes", ONCE_CHECKS) { OnceSoak(it, OnceDefect.NO_BLOCK_REQUESTS).run(300_000) },
            DefectCase(
                "a restarted home ignores that it lost its records",
                ONCE_CHECKS,
            ) { OnceSoak(it, OnceDefect.NO_RESTART_CHECK).run(300_000) },
            DefectCase("a home acts after its lease has expired", ONCE_CHECKS) { OnceSoak(it, OnceDefect.NO_LEASE_EXPIRY).run(600_000) },
            DefectCase(
                "a holder lends after its lease has expired",
                LIMIT_CHECKS,
            ) { LimitSoak(it, LimitDefect.NO_LEASE_EXPIRY, LimitFaults.ISOLATION).run(60_000) },
            DefectCase("loans are used after they have expired", LIMIT_CHECKS) { LimitSoak(it, LimitDefect.LOANS_OVERRUN).run(60_000) },
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
