package wigeonreel.once

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import wigeonreel.outcome.Refusal

class ExecutionRecordsTest {
    private val policy = OncePolicy(windowMs = 60_000, homeSetLeaseMs = 10_000, maxClockSkewMs = 100)
    private val startMs = 1_000_000L
    private val nowMs = 2_000_000L

    private fun records(set: HomeSet? = homeSetOf(1L to "d0"), provenAtMs: Long = nowMs): ExecutionRecords<String> =
        ExecutionRecords<String>("d0", 7, startMs, policy).also { if (set != null) it.updateHomeSet(set, provenAtMs) }

    private fun homeSetOf(vararg versions: Pair<Long, String>) =
        HomeSet("s", versions.map { (version, home) -> HomeSetVersion(version, listOf(home), nowMs - 1_000) })

    private fun key(issuedAtMs: Long) = IdempotencyKey("k$issuedAtMs", issuedAtMs, null)

    private fun attempt(key: IdempotencyKey, id: String = "a", fingerprint: Int = 1, expiresAtMs: Long = nowMs + 1_000) =
        Attempt<String>(id, "account", key, fingerprint, expiresAtMs)

    private class Case(
        val name: String,
        val expected: OnceDecision<String>,
        val decide: ExecutionRecordsTest.() -> OnceDecision<String>,
    )

    @TestFactory
    fun `an attempt with an unknown key runs, asks the former homes or is refused`() =
        listOf(
            Case("home in the current set", OnceDecision.Run) { records().begin(attempt(key(nowMs)), nowMs) },
            Case(
                "home that must ask a former home",
                OnceDecision.Ask(setOf("d1")),
            ) { records(homeSetOf(1L to "d1", 2L to "d0")).begin(attempt(key(nowMs)), nowMs) },
            Case("no home set", refused(Refusal.HOME_NOT_CURRENT)) { records(null).begin(attempt(key(nowMs)), nowMs) },
            Case(
                "other daemon is the home",
                refused(Refusal.HOME_NOT_CURRENT),
            ) { records(homeSetOf(1L to "d1")).begin(attempt(key(nowMs)), nowMs) },
            Case(
                "home set lease expired",
                refused(Refusal.HOME_NOT_CURRENT),
            ) { records(provenAtMs = nowMs - 10_000).begin(attempt(key(nowMs)), nowMs) },
            Case(
                "issued in the future",
                refused(Refusal.IDEMPOTENCY_KEY_FROM_FUTURE),
            ) { records().begin(attempt(key(nowMs + 101)), nowMs) },
            Case(
                "older than the window",
                refused(Refusal.IDEMPOTENCY_KEY_TOO_OLD),
            ) { records().begin(attempt(key(nowMs - 60_001)), nowMs) },
            Case("issued before the start", refused(Refusal.RECORD_LOST)) { records().begin(attempt(key(startMs + 99)), startMs + 200) },
            Case(
                "past deadline",
                refused(Refusal.DEADLINE_PASSED),
            ) { records().begin(attempt(key(nowMs), expiresAtMs = nowMs - 100), nowMs) },
            Case("minted by this incarnation", OnceDecision.Run) { records(null).begin(attempt(minted("d0", 7)), nowMs) },
            Case("minted by an earlier incarnation", refused(Refusal.RECORD_LOST)) { records(null).begin(attempt(minted("d0", 6)), nowMs) },
            Case("minted for another home", refused(Refusal.HOME_NOT_CURRENT)) { records(null).begin(attempt(minted("d1", 7)), nowMs) },
        ).map { case -> DynamicTest.dynamicTest(case.name) { expectThat(case.decide(this)).isEqualTo(case.expected) } }

    private fun minted(home: String, incarnation: Long) = mintKey(HomeBinding(home, incarnation), nowMs, 1, 2)

    private fun refused(refusal: Refusal) = OnceDecision.Refuse(refusal)

    @Test
    fun `a retry is refused while the request runs and gets its outcome afterwards`() {
        val records = records()
        val first = attempt(key(nowMs))
        records.begin(first, nowMs)
        expectThat(records.begin(attempt(key(nowMs), "b"), nowMs)).isEqualTo(refused(Refusal.STILL_RUNNING))
        records.finish(first, "done")
        expectThat(records.begin(attempt(key(nowMs), "c"), nowMs)).isEqualTo(OnceDecision.Kept("done"))
        expectThat(records.begin(attempt(key(nowMs), "d", fingerprint = 2), nowMs)).isEqualTo(refused(Refusal.IDEMPOTENCY_KEY_REUSED))
    }

    @Test
    fun `a duplicate of a running attempt is not answered as not run after its deadline`() {
        val records = records()
        records.begin(attempt(key(nowMs)), nowMs)
        expectThat(records.begin(attempt(key(nowMs)), nowMs + 5_000)).isEqualTo(refused(Refusal.STILL_RUNNING))
    }

    @Test
    fun `a duplicate of a refused attempt does not run`() {
        val records = records()
        val first = attempt(key(nowMs))
        records.begin(first, nowMs)
        records.abandon(first)
        expectThat(records.begin(first, nowMs)).isEqualTo(refused(Refusal.HOME_NOT_CURRENT))
    }

    @Test
    fun `a block that arrives while the home awaits block answers wins`() {
        val records = records(homeSetOf(1L to "d1", 2L to "d0"))
        val pendingAttempt = attempt(key(nowMs))
        records.begin(pendingAttempt, nowMs)
        expectThat(records.block("account", key(nowMs), 3)).isEqualTo(BlockAnswer.Blocked)
        expectThat(records.onBlockAnswer(pendingAttempt, "d1", BlockAnswer.Blocked)).isNull()
    }

    @Test
    fun `a home with an older home set than its blocker does not report the key as spent`() {
        val records = records()
        records.block("account", key(nowMs), requesterVersion = 2)
        expectThat(records.begin(attempt(key(nowMs)), nowMs)).isEqualTo(refused(Refusal.HOME_NOT_CURRENT))
    }

    @Test
    fun `a spent key stays spent for later homes`() {
        val records = records(homeSetOf(1L to "d0", 2L to "d1", 3L to "d0"))
        records.block("account", key(nowMs), requesterVersion = 2)
        val pendingAttempt = attempt(key(nowMs))
        expectThat(records.begin(pendingAttempt, nowMs)).isEqualTo(OnceDecision.Ask(setOf("d1")))
        expectThat(records.onBlockAnswer(pendingAttempt, "d1", BlockAnswer.Blocked)).isEqualTo(refused(Refusal.IDEMPOTENCY_KEY_SPENT))
        expectThat(records.block("account", key(nowMs), requesterVersion = 4)).isEqualTo(BlockAnswer.Spent)
    }

    @Test
    fun `records are evicted after the window`() {
        val records = records()
        records.begin(attempt(key(nowMs)), nowMs).also { records.finish(attempt(key(nowMs)), "done") }
        records.evict(nowMs + 60_100)
        expectThat(records.size).isEqualTo(1)
        records.evict(nowMs + 60_101)
        expectThat(records.size).isEqualTo(0)
    }

    private class KeyText(
        val text: String,
        val valid: Boolean,
    )

    @TestFactory
    fun `only UUIDv7 and minted keys are valid`() =
        listOf(
            KeyText(timeOrderedUuid(nowMs, 1, 2).toString(), true),
            KeyText(minted("d0", 7).text, true),
            KeyText("7d444840-9dc0-11d1-b245-5ffdce74fad2", false),
            KeyText("", false),
            KeyText("wr1~x~d0~7", false),
            KeyText("wr1~${timeOrderedUuid(nowMs, 1, 2)}~d0", false),
            KeyText("wr1~${timeOrderedUuid(nowMs, 1, 2)}~d0~x", false),
        ).map { case ->
            DynamicTest.dynamicTest("'${case.text}'") { expectThat(parseIdempotencyKey(case.text).isRight()).isEqualTo(case.valid) }
        }
}
