package wigeonreel.limit

/**
 * Durations of the account limit protocol, in milliseconds.
 *
 * @param loanMs time for which a borrower may use a loan, counted from its request.
 * @param expiryMarginMs time after [loanMs] at which a holder counts a loan as expired; covers the drift of two clocks over
 *   a loan.
 * @param seatLeaseMs time for which a holder may lend without new proof that it still holds its seat.
 * @param maxClockSkewMs maximum difference between two clocks.
 * @param settleMs time before a new share starts to fill, in which the previous holder's loans expire.
 */
data class LimitPolicy(
    val loanMs: Long = 300,
    val expiryMarginMs: Long = 50,
    val seatLeaseMs: Long = 7_200_000,
    val maxClockSkewMs: Long = 5_000,
    val settleMs: Long = 3_000,
)
