package wigeonreel.traffic

import java.security.SecureRandom
import java.util.HexFormat

/**
 * Contexts of the requests that the local backend server is running, by the token that the server was handed.
 *
 * A token is valid only while its request runs, so a header made up outside is never believed.
 */
class ContextTable {
    private val random = SecureRandom()
    private val byToken = HashMap<String, RequestContext>()

    /** Opens a context and returns its token. */
    fun open(context: RequestContext): String {
        val token = HexFormat.of().formatHex(ByteArray(TOKEN_BYTES).also { random.nextBytes(it) })
        byToken[token] = context
        return token
    }

    /** Returns the context of [token], or null when its request is over. */
    fun find(token: String): RequestContext? = byToken[token]

    /** Closes the context of [token]. */
    fun close(token: String) {
        byToken.remove(token)
    }

    private companion object {
        const val TOKEN_BYTES = 16
    }
}
