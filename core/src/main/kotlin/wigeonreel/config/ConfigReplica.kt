package wigeonreel.config

import arrow.core.getOrElse

/** Result of an attempt to apply a configuration to a replica. */
sealed interface ConfigOffer {
    /** The offered version is now in force. */
    data class Applied(
        val version: Long,
    ) : ConfigOffer

    /** The offered version is not higher than the one in force. */
    data class Stale(
        val version: Long,
    ) : ConfigOffer

    /** Versions between the one in force and the offered one are missing; the caller must fetch the changes after [version]. */
    data class Gap(
        val version: Long,
    ) : ConfigOffer

    /** The offered entries can't be parsed or are not valid. */
    data class Invalid(
        val error: ConfigError,
    ) : ConfigOffer
}

/** Replica of the configuration in one daemon; its version never decreases. */
class ConfigReplica {
    /** Configuration in force; has version 0 until the first one is received. */
    var current: Configuration = Configuration.EMPTY
        private set

    /** Whether a configuration has been received. */
    val ready: Boolean get() = current.version > 0

    /** Applies [delta] if it is newer than the version in force and leaves no gap after it. */
    fun offer(delta: ConfigDelta): ConfigOffer =
        when {
            delta.toVersion <= current.version -> ConfigOffer.Stale(current.version)
            delta.fromVersion > current.version -> ConfigOffer.Gap(current.version)
            else -> apply(if (delta.fromVersion == 0L) Configuration.EMPTY.merge(delta) else current.merge(delta))
        }

    /** Applies a complete [document] from the store if it is newer than the version in force. */
    fun offer(document: ConfigDocument): ConfigOffer = offer(ConfigDelta(0, document.version, document.entries))

    private fun apply(next: arrow.core.Either<ConfigError, Configuration>): ConfigOffer =
        next
            .map {
                current = it
                ConfigOffer.Applied(it.version) as ConfigOffer
            }.getOrElse { ConfigOffer.Invalid(it) }
}
