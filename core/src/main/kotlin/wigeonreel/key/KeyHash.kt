package wigeonreel.key

import com.google.common.hash.Hashing

/** SHA-256 of a client account's key, in hexadecimal. The key itself is never stored. */
@JvmInline
value class KeyHash(
    val hex: String,
) {
    override fun toString(): String = "KeyHash(${hex.take(LOGGED_DIGITS)})"

    companion object {
        private const val LOGGED_DIGITS = 6

        /** Returns the hash of [key]. */
        fun of(key: String): KeyHash = KeyHash(Hashing.sha256().hashString(key, Charsets.UTF_8).toString())
    }
}
