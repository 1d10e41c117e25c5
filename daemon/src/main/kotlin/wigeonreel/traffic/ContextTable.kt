package wigeonreel.traffic

import java.security.SecureRandom
import java.util.HexFormat

/**
 * Contexts of the requests running on the local backend server, by the token sent to it with each request.
 *
 * A token is random and valid only while its request runs, so a forged context header is rejected.
 */
class ContextTable {
    private val random = SecureRandom()
    private val byToken = HashMap<String, RequestContext>()

    /** Registers [context] and returns its new token. */
    fun open(context: RequestContext): String {
        val token = HexFormat.of().formatHex(ByteArray(TOKEN_BYTES).also { random.nextBytes(it) })
        byToken[token] = context
        return token
    }

    /** Returns the context of [token], or null if the token is unknown or its request has ended. */
    fun find(token: String): RequestContext? = byToken[token]

    /** Invalidates [token]; does nothing if it is unknown. */
    fun close(token: String) {
        byToken.remove(token)
    }

    private companion object {
        const val TOKEN_BYTES = 16
    }
}
