package wigeonreel.key

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration
import wigeonreel.outcome.Refusal

/** Account that requests without a key run for on open routes. */
val ANONYMOUS: AccountConfig = AccountConfig(name = "anonymous", ratePerSecond = 50.0, burst = 50.0)

/**
 * Returns the client account that a request runs for.
 *
 * A key that is present is checked on open routes too: the request runs for that key's account or not at all.
 */
fun checkKey(key: String?, openRoute: Boolean, configuration: Configuration): Either<Refusal, AccountConfig> =
    when {
        key != null -> configuration.accountOf(KeyHash.of(key))?.right() ?: Refusal.KEY_INVALID.left()
        openRoute -> (configuration.accounts[ANONYMOUS.name] ?: ANONYMOUS).right()
        else -> Refusal.KEY_MISSING.left()
    }
