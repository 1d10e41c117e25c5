package wigeonreel.key

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration
import wigeonreel.outcome.Refusal

/** Account of requests without a key on open routes. */
val ANONYMOUS: AccountConfig = AccountConfig(name = "anonymous", ratePerSecond = 50.0, burst = 50.0)

/**
 * Returns the client account of a request, or the refusal if its key is missing or invalid.
 *
 * A request with a key is authenticated on open routes too: an invalid key is refused and does not fall back to [ANONYMOUS].
 */
fun checkKey(key: String?, openRoute: Boolean, configuration: Configuration): Either<Refusal, AccountConfig> =
    when {
        key != null -> configuration.accountOf(KeyHash.of(key))?.right() ?: Refusal.KEY_INVALID.left()
        openRoute -> (configuration.accounts[ANONYMOUS.name] ?: ANONYMOUS).right()
        else -> Refusal.KEY_MISSING.left()
    }
