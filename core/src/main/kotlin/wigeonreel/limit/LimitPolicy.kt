package wigeonreel.limit

/**
 * Times of the account limits, in milliseconds.
 *
 * @param loanMs time for which a borrower may use a loan, from its request.
 * @param marginMs time added before a holder counts a loan as lapsed; covers the drift of two clocks over a loan.
 * @param tenureMs time for which a holder lends without proof that it still holds its seat.
 * @param clockMarginMs largest difference between two clocks.
 * @param settleMs time before a new share starts to fill, in which the former holder's loans lapse.
 */
data class LimitPolicy(
    val loanMs: Long = 300,
    val marginMs: Long = 50,
    val tenureMs: Long = 7_200_000,
    val clockMarginMs: Long = 5_000,
    val settleMs: Long = 3_000,
)
