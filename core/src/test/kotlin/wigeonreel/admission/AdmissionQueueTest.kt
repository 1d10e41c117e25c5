package wigeonreel.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import wigeonreel.outcome.Refusal
import kotlin.random.Random

class AdmissionQueueTest {
    private fun arrival(
        nested: Boolean = false,
        priority: Int = 1,
        deadlineMs: Long = 10_000,
        objectiveMs: Long = 1_000,
        route: String = "r",
    ) = Arrival(route, nested, priority, deadlineMs, objectiveMs)

    private fun AdmissionQueue.fill(count: Int, nowMs: Long = 0) =
        List(count) { (arrive(arrival(), nowMs).admission as Admission.Run).ticket }

    @Test
    fun `a request runs at once while a slot is free`() {
        expectThat(AdmissionQueue(10).arrive(arrival(), 0).admission).isA<Admission.Run>()
    }

    @Test
    fun `nested calls start first, then requests of higher priority, then earlier ones`() {
        val queue = AdmissionQueue(2)
        val running = queue.fill(queue.limit)
        val waiting =
            listOf(arrival(priority = 2), arrival(priority = 0), arrival(nested = true, priority = 2), arrival(priority = 0))
                .map { (queue.arrive(it, 0).admission as Admission.Wait).ticket }
        val order = mutableListOf<Ticket>()
        var finished = running.first()
        repeat(waiting.size) {
            val next = queue.finish(finished, 1.0, 0).single()
            order += next
            finished = next
        }
        expectThat(order).containsExactly(waiting[2], waiting[1], waiting[3], waiting[0])
    }

    @Test
    fun `a request that can't meet its deadline is refused on arrival`() {
        val queue = AdmissionQueue(1)
        queue.finish(queue.fill(1).single(), 400.0, 0)
        queue.fill(1)
        val result = queue.arrive(arrival(deadlineMs = 500), 0)
        expectThat(result.admission).isA<Admission.Refuse>().get { refusal }.isEqualTo(Refusal.OVERLOADED)
    }

    @Test
    fun `an arrival of higher priority displaces a queued request that would then exceed its maximum wait`() {
        val queue = AdmissionQueue(1)
        queue.finish(queue.fill(1).single(), 150.0, 0)
        queue.fill(1)
        val lowPriority = (queue.arrive(arrival(priority = 2), 0).admission as Admission.Wait).ticket
        val result = queue.arrive(arrival(priority = 0), 0)
        expectThat(result.admission).isA<Admission.Wait>()
        expectThat(result.displaced).containsExactly(lowPriority)
    }

    @Test
    fun `a cancelled request is removed from the queue and never started`() {
        val queue = AdmissionQueue(1)
        val running = queue.fill(1).single()
        val waiting = (queue.arrive(arrival(), 0).admission as Admission.Wait).ticket
        expectThat(queue.cancel(waiting)).isTrue()
        expectThat(queue.finish(running, 1.0, 0)).isEmpty()
    }

    @Test
    fun `clear removes and returns all queued requests`() {
        val queue = AdmissionQueue(1)
        queue.fill(1)
        val waiting = (queue.arrive(arrival(), 0).admission as Admission.Wait).ticket
        expectThat(queue.clear()).containsExactly(waiting)
        expectThat(queue.waitingCount).isEqualTo(0)
    }

    /** Load pattern: the server becomes so slow that none of its answers is in time. */
    @Test
    fun `a server too slow for the deadline gets one request of the route in 300 ms until it is faster`() {
        val queue = AdmissionQueue(10)

        fun admits(nowMs: Long) = queue.arrive(arrival(deadlineMs = nowMs + 500), nowMs).admission is Admission.Run
        repeat(10) { queue.finish(queue.fill(1).single(), 900.0, 900) }
        expectThat(admits(1_000)).isTrue()
        expectThat((1_010L..1_290L step 10).none { admits(it) }).isTrue()
        expectThat(admits(1_310)).isTrue()
        val other = queue.arrive(arrival(route = "other", deadlineMs = 1_820), 1_320).admission
        expectThat(other).isA<Admission.Run>()
    }

    /** Load pattern: all daemons have just started, and their first requests take many times as long as the later ones. */
    @Test
    fun `the first slow requests of a server do not count for long`() {
        val queue = AdmissionQueue(10)
        queue.finish(queue.fill(1).single(), 900.0, 0)
        expectThat(queue.serviceMs("r")).isEqualTo(null)
        repeat(19) { queue.finish(queue.fill(1).single(), 50.0, 0) }
        expectThat(queue.serviceMs("r")!!).isLessThan(100.0)
    }

    private class Served(
        var nested: Int = 0,
        var nestedOffered: Int = 0,
        var newRequests: Int = 0,
    )

    /** Simulates a service deep in the call graph at 2.2 times its capacity. The nested calls alone fit, so hardly any may be refused. */
    private fun replay(seed: Int): Served {
        val random = Random(seed)
        val queue = AdmissionQueue(28)
        val running = HashMap<Ticket, Long>()
        val served = Served()
        for (nowMs in 0L..20_000L) {
            val finished = running.filterValues { it <= nowMs }.keys.toList()
            for (ticket in finished) {
                running.remove(ticket)
                if (ticket.arrival.nested) served.nested++ else served.newRequests++
                queue.finish(ticket, if (ticket.arrival.nested) 30.0 else 480.0, nowMs).forEach {
                    running[it] =
                        nowMs + serviceMs(it, random)
                }
            }
            if (random.nextDouble() < 0.6) {
                served.nestedOffered++
                offer(queue, arrival(true, 2, nowMs + 700, 300, "call"), nowMs, running, random)
            }
            if (random.nextDouble() < 0.08) offer(queue, arrival(false, 2, nowMs + 3_000, 1_500, "view"), nowMs, running, random)
        }
        return served
    }

    private fun offer(
        queue: AdmissionQueue,
        arrival: Arrival,
        nowMs: Long,
        running: HashMap<Ticket, Long>,
        random: Random,
    ) {
        val admission = queue.arrive(arrival, nowMs).admission
        if (admission is Admission.Run) running[admission.ticket] = nowMs + serviceMs(admission.ticket, random)
    }

    private fun serviceMs(ticket: Ticket, random: Random) =
        if (ticket.arrival.nested) {
            20L + random.nextLong(20)
        } else {
            300L +
                random.nextLong(360)
        }

    @Test
    fun `under overload more than 97 percent of the nested calls are served and new requests get the rest`() {
        for (seed in 1..3) {
            val served = replay(seed)
            expectThat(served.nested.toDouble() / served.nestedOffered).isGreaterThan(0.97)
            expectThat(served.newRequests).isGreaterThan(100)
        }
    }

    @Test
    fun `the expected wait of queued new requests stays within a quarter of their objective`() {
        val queue = AdmissionQueue(4)
        val running = queue.fill(queue.limit)
        running.drop(1).forEach { queue.finish(it, 100.0, 0) }
        queue.fill(queue.limit - 1)
        repeat(50) { queue.arrive(arrival(), 0) }
        expectThat(queue.waitingCount * 100 / queue.limit).isLessThanOrEqualTo(250)
    }
}
