package wigeonreel.once

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import wigeonreel.outcome.Refusal
import java.util.UUID

/**
 * Idempotency key that a caller sends with a non-idempotent request.
 *
 * @param issuedAtMs issue time in milliseconds since the epoch, from the UUIDv7 in the key.
 * @param binding the only daemon incarnation that may run a minted key, or null for a key created by a caller.
 */
data class IdempotencyKey(
    val text: String,
    val issuedAtMs: Long,
    val binding: HomeBinding?,
)

/** One incarnation of a daemon, as encoded in the keys that it mints. */
data class HomeBinding(
    val home: String,
    val incarnation: Long,
)

private const val UUID_VERSION_TIME_ORDERED = 7
private const val TIMESTAMP_SHIFT = 16
private const val MINTED_PREFIX = "wr1"
private const val MINTED_PARTS = 4
private const val VERSION_BITS = 0x7000L
private const val RANDOM_A_MASK = 0xFFFL
private const val VARIANT_BITS = Long.MIN_VALUE
private const val RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL

/** Parses a UUIDv7, or a minted key of the form `wr1~uuid~home~incarnation`. */
fun parseIdempotencyKey(text: String): Either<Refusal, IdempotencyKey> {
    val parts = text.split('~')
    if (parts.first() != MINTED_PREFIX) return issuedAtMsOf(text)?.let { IdempotencyKey(text, it, null).right() } ?: invalid()
    if (parts.size != MINTED_PARTS) return invalid()
    val issuedAtMs = issuedAtMsOf(parts[1]) ?: return invalid()
    val incarnation = parts[3].toLongOrNull() ?: return invalid()
    return IdempotencyKey(text, issuedAtMs, HomeBinding(parts[2], incarnation)).right()
}

/** Mints a key that only [binding] may run; [randomA] and [randomB] are random bits. */
fun mintKey(binding: HomeBinding, nowMs: Long, randomA: Long, randomB: Long): IdempotencyKey {
    val uuid = timeOrderedUuid(nowMs, randomA, randomB)
    return IdempotencyKey("$MINTED_PREFIX~$uuid~${binding.home}~${binding.incarnation}", nowMs, binding)
}

/** Returns a UUIDv7 issued at [nowMs] from random bits. */
fun timeOrderedUuid(nowMs: Long, randomA: Long, randomB: Long): UUID =
    UUID(
        (nowMs shl TIMESTAMP_SHIFT) or VERSION_BITS or (randomA and RANDOM_A_MASK),
        VARIANT_BITS or (randomB and RANDOM_B_MASK),
    )

private fun issuedAtMsOf(text: String): Long? {
    val uuid = Either.catchOrThrow<IllegalArgumentException, UUID> { UUID.fromString(text) }.getOrNull() ?: return null
    if (uuid.version() != UUID_VERSION_TIME_ORDERED || uuid.toString() != text.lowercase()) return null
    return uuid.mostSignificantBits ushr TIMESTAMP_SHIFT
}

private fun invalid() = Refusal.IDEMPOTENCY_KEY_INVALID.left()
