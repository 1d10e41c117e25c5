package wigeonreel.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ReceiveBudgetTest {
    private class FakeReceiver : Receiver {
        var open = true

        override fun setReading(reading: Boolean) {
            open = reading
        }
    }

    private val budget = ReceiveBudget(100)
    private val first = FakeReceiver()
    private val second = FakeReceiver()
    private val third = FakeReceiver()

    @Test
    fun `beyond the limit one receiver goes on and the others wait in order`() {
        budget.onReceived(first, 60)
        budget.onReceived(second, 60)
        budget.onReceived(third, 10)
        budget.onReceived(first, 500)
        expectThat(listOf(first, second, third).map { it.open }).isEqualTo(listOf(true, false, false))
        budget.release(first)
        expectThat(listOf(second, third).map { it.open }).isEqualTo(listOf(true, true))
        expectThat(budget.heldBytes).isEqualTo(70)
    }

    @Test
    fun `there is always one that reads`() {
        budget.onReceived(first, 60)
        budget.onReceived(second, 600)
        budget.onReceived(third, 600)
        expectThat(second.open).isFalse()
        budget.release(first)
        expectThat(second.open).isTrue()
        expectThat(third.open).isFalse()
        budget.release(second)
        expectThat(third.open).isTrue()
    }

    @Test
    fun `a connection that ends while it is paused can be read again`() {
        budget.onReceived(first, 60)
        budget.onReceived(second, 60)
        budget.release(second)
        expectThat(second.open).isTrue()
        expectThat(budget.heldBytes).isEqualTo(60)
    }
}
