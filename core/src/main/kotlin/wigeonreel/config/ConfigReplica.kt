package wigeonreel.config

import arrow.core.getOrElse

/** What a daemon did with an offered configuration. */
sealed interface ConfigOffer {
    /** The offered version is in force now. */
    data class Applied(
        val version: Long,
    ) : ConfigOffer

    /** The offered version is not higher than the one in force. */
    data class Stale(
        val version: Long,
    ) : ConfigOffer

    /** Versions between the one in force and the offered one are missing; fetch from [version] on. */
    data class Gap(
        val version: Long,
    ) : ConfigOffer

    /** The offered entries can't be read. */
    data class Invalid(
        val error: ConfigError,
    ) : ConfigOffer
}

/** One daemon's copy of the configuration, which only ever moves to a higher version. */
class ConfigReplica {
    /** Configuration in force; version 0 until the first one was received. */
    var current: Configuration = Configuration.EMPTY
        private set

    /** Whether a configuration was received. */
    val ready: Boolean get() = current.version > 0

    /** Takes [delta] if it continues the version in force. */
    fun offer(delta: ConfigDelta): ConfigOffer =
        when {
            delta.toVersion <= current.version -> ConfigOffer.Stale(current.version)
            delta.fromVersion > current.version -> ConfigOffer.Gap(current.version)
            else -> apply(if (delta.fromVersion == 0L) Configuration.EMPTY.merge(delta) else current.merge(delta))
        }

    /** Takes a whole [document] as read from the store. */
    fun offer(document: ConfigDocument): ConfigOffer = offer(ConfigDelta(0, document.version, document.entries))

    private fun apply(next: arrow.core.Either<ConfigError, Configuration>): ConfigOffer =
        next
            .map {
                current = it
                ConfigOffer.Applied(it.version) as ConfigOffer
            }.getOrElse { ConfigOffer.Invalid(it) }
}
