package wigeonreel.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import wigeonreel.outcome.Refusal
import kotlin.random.Random

class WaitingRoomTest {
    private fun arrival(
        begun: Boolean = false,
        priority: Int = 1,
        deadlineMs: Long = 10_000,
        objectiveMs: Long = 1_000,
        route: String = "r",
    ) = Arrival(route, begun, priority, deadlineMs, objectiveMs)

    private fun WaitingRoom.fill(count: Int, nowMs: Long = 0) = List(count) { (arrive(arrival(), nowMs).admission as Admission.Run).ticket }

    @Test
    fun `a free slot is taken at once`() {
        expectThat(WaitingRoom(10).arrive(arrival(), 0).admission).isA<Admission.Run>()
    }

    @Test
    fun `calls of running requests go first, then the more urgent, then the earlier`() {
        val room = WaitingRoom(2)
        val running = room.fill(room.limit)
        val waiting =
            listOf(arrival(priority = 2), arrival(priority = 0), arrival(begun = true, priority = 2), arrival(priority = 0))
                .map { (room.arrive(it, 0).admission as Admission.Wait).ticket }
        val order = mutableListOf<Ticket>()
        var ended = running.first()
        repeat(waiting.size) {
            val next = room.finish(ended, 1.0).single()
            order += next
            ended = next
        }
        expectThat(order).containsExactly(waiting[2], waiting[1], waiting[3], waiting[0])
    }

    @Test
    fun `a request that can't be served in time is refused at once as not run`() {
        val room = WaitingRoom(1)
        room.finish(room.fill(1).single(), 400.0)
        room.fill(1)
        val arranged = room.arrive(arrival(deadlineMs = 500), 0)
        expectThat(arranged.admission).isA<Admission.Refuse>().get { refusal }.isEqualTo(Refusal.OVERLOADED)
    }

    @Test
    fun `a more urgent arrival displaces the one that would now wait too long`() {
        val room = WaitingRoom(1)
        room.finish(room.fill(1).single(), 150.0)
        room.fill(1)
        val patient = (room.arrive(arrival(priority = 2), 0).admission as Admission.Wait).ticket
        val arranged = room.arrive(arrival(priority = 0), 0)
        expectThat(arranged.admission).isA<Admission.Wait>()
        expectThat(arranged.displaced).containsExactly(patient)
    }

    @Test
    fun `a waiting request that leaves frees its place and is never run`() {
        val room = WaitingRoom(1)
        val running = room.fill(1).single()
        val waiting = (room.arrive(arrival(), 0).admission as Admission.Wait).ticket
        expectThat(room.leave(waiting)).isTrue()
        expectThat(room.finish(running, 1.0)).isEmpty()
    }

    @Test
    fun `all who wait for a server that is gone are told at once`() {
        val room = WaitingRoom(1)
        room.fill(1)
        val waiting = (room.arrive(arrival(), 0).admission as Admission.Wait).ticket
        expectThat(room.clear()).containsExactly(waiting)
        expectThat(room.waitingCount).isEqualTo(0)
    }

    private class Served(
        var calls: Int = 0,
        var callsOffered: Int = 0,
        var fresh: Int = 0,
    )

    /** Deep service at 2.2 times its capacity, calls alone fit: calls of begun work must hardly ever be refused. */
    private fun replay(seed: Int): Served {
        val random = Random(seed)
        val room = WaitingRoom(28)
        val running = HashMap<Ticket, Long>()
        val served = Served()
        for (nowMs in 0L..20_000L) {
            val ended = running.filterValues { it <= nowMs }.keys.toList()
            for (ticket in ended) {
                running.remove(ticket)
                if (ticket.arrival.begun) served.calls++ else served.fresh++
                room.finish(ticket, if (ticket.arrival.begun) 30.0 else 480.0).forEach { running[it] = nowMs + serviceMs(it, random) }
            }
            if (random.nextDouble() < 0.6) {
                served.callsOffered++
                offer(room, arrival(true, 2, nowMs + 700, 300, "call"), nowMs, running, random)
            }
            if (random.nextDouble() < 0.08) offer(room, arrival(false, 2, nowMs + 3_000, 1_500, "view"), nowMs, running, random)
        }
        return served
    }

    private fun offer(
        room: WaitingRoom,
        arrival: Arrival,
        nowMs: Long,
        running: HashMap<Ticket, Long>,
        random: Random,
    ) {
        val admission = room.arrive(arrival, nowMs).admission
        if (admission is Admission.Run) running[admission.ticket] = nowMs + serviceMs(admission.ticket, random)
    }

    private fun serviceMs(ticket: Ticket, random: Random) =
        if (ticket.arrival.begun) {
            20L + random.nextLong(20)
        } else {
            300L +
                random.nextLong(360)
        }

    @Test
    fun `under a deep overload calls of begun work are served and new work gets the rest`() {
        for (seed in 1..3) {
            val served = replay(seed)
            expectThat(served.calls.toDouble() / served.callsOffered).isGreaterThan(0.97)
            expectThat(served.fresh).isGreaterThan(100)
        }
    }

    @Test
    fun `the wait of a new request stays a fifth of its objective`() {
        val room = WaitingRoom(4)
        val running = room.fill(room.limit)
        running.drop(1).forEach { room.finish(it, 100.0) }
        room.fill(room.limit - 1)
        repeat(50) { room.arrive(arrival(), 0) }
        expectThat(room.waitingCount * 100 / room.limit).isLessThanOrEqualTo(250)
    }
}
