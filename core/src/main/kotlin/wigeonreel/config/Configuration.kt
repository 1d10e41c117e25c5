package wigeonreel.config

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import wigeonreel.key.KeyHash
import wigeonreel.limit.Seat
import wigeonreel.once.HomeSet
import wigeonreel.selector.Selector
import wigeonreel.selector.parseSelector

/** Completed write: the writer's operation [id] and the [version] that it created. */
@Serializable
data class ConfigOperation(
    val id: String,
    val version: Long,
)

/**
 * One version of the configuration as stored in the table service.
 *
 * @param operations latest writes; a writer that lost the answer to its write finds out here whether it took effect.
 */
@Serializable
data class ConfigDocument(
    val version: Long,
    val operations: List<ConfigOperation> = emptyList(),
    val entries: List<ConfigEntry> = emptyList(),
)

/** Entries changed after [fromVersion] and up to [toVersion]. */
data class ConfigDelta(
    val fromVersion: Long,
    val toVersion: Long,
    val entries: List<ConfigEntry>,
)

/** Rule with its parsed selector. */
data class Rule(
    val config: RuleConfig,
    val selector: Selector,
)

/** One version of the configuration, indexed for lookups on the request path. */
class Configuration private constructor(
    val version: Long,
    val entries: Map<String, ConfigEntry>,
    private val index: ConfigIndex,
) {
    val accounts: Map<String, AccountConfig> get() = index.accounts
    val services: Map<String, ServiceConfig> get() = index.services

    /** Home sets by service name. */
    val homeSets: Map<String, HomeSet> get() = index.homeSets

    /** Seats that hold the shares of the account limits, by name. */
    val seats: Map<String, Seat> get() = index.seats

    /** Routes by host and path. */
    val routes: RouteTable get() = index.routes

    /** Rules in evaluation order. */
    val rules: List<Rule> get() = index.rules

    /** Returns the account of the key with [hash], or null if the key was not granted or was withdrawn. */
    fun accountOf(hash: KeyHash): AccountConfig? = index.keys[hash.hex]?.let { accounts[it] }

    /** Returns the entries changed after [version]. */
    fun deltaSince(version: Long): ConfigDelta = ConfigDelta(version, this.version, entries.values.filter { it.version > version })

    /** Returns this configuration with those entries of [delta] that are newer. */
    fun merge(delta: ConfigDelta): Either<ConfigError, Configuration> {
        val newer = delta.entries.filter { it.version > (entries[it.name]?.version ?: 0) }
        return of(delta.toVersion, entries + newer.associateBy { it.name })
    }

    /** Returns the next version with [edits] applied, or the reason for their refusal. */
    fun plan(edits: List<ConfigEdit>): Either<ConfigError, Configuration> {
        val next = version + 1
        val changed = edits.map { ConfigEntry(it.name, it.value, next) }
        return of(
            next,
            (entries + changed.associateBy { it.name })
                .filterValues { it.value != null || it.version > next - TOMBSTONE_RETENTION_VERSIONS },
        )
    }

    /** Returns the stored form of this version, with [operation] appended to the [earlier] writes. */
    fun toDocument(operation: String, earlier: List<ConfigOperation> = emptyList()): ConfigDocument {
        val operations = (earlier + ConfigOperation(operation, version)).takeLast(MAX_OPERATIONS)
        return ConfigDocument(version, operations, entries.values.sortedBy { it.name })
    }

    companion object {
        /** Number of versions for which the tombstone of a removed entry is kept. */
        const val TOMBSTONE_RETENTION_VERSIONS = 20_000L

        /** Maximum number of latest writes in a document. */
        const val MAX_OPERATIONS = 64

        /** Configuration before the first version. */
        val EMPTY: Configuration = Configuration(0, emptyMap(), ConfigIndex())

        /** Builds the configuration from a stored document. */
        fun of(document: ConfigDocument): Either<ConfigError, Configuration> =
            of(document.version, document.entries.associateBy { it.name })

        private fun of(version: Long, entries: Map<String, ConfigEntry>): Either<ConfigError, Configuration> =
            buildIndex(entries.values).map { Configuration(version, entries, it) }
    }
}

internal class ConfigIndex(
    val accounts: Map<String, AccountConfig> = emptyMap(),
    val keys: Map<String, String> = emptyMap(),
    val services: Map<String, ServiceConfig> = emptyMap(),
    val rules: List<Rule> = emptyList(),
    val homeSets: Map<String, HomeSet> = emptyMap(),
    val seats: Map<String, Seat> = emptyMap(),
    val routes: RouteTable = RouteTable(emptyList()),
)

private val json = Json { ignoreUnknownKeys = true }

private const val MAX_RATE_PER_SECOND = 10_000_000.0

private fun buildIndex(entries: Collection<ConfigEntry>): Either<ConfigError, ConfigIndex> =
    either {
        val accounts = mutableMapOf<String, AccountConfig>()
        val keys = mutableMapOf<KeyConfig, String>()
        val services = mutableMapOf<String, ServiceConfig>()
        val rules = mutableListOf<Rule>()
        val homeSets = mutableMapOf<String, HomeSet>()
        val seats = mutableMapOf<String, Seat>()
        val routes = mutableListOf<RouteConfig>()
        for (entry in entries) {
            val value = entry.value ?: continue
            when (entry.name.substringBefore('/')) {
                "account" -> parse<AccountConfig>(entry.name, value).bind().also { accounts[it.name] = checkAccount(entry.name, it).bind() }
                "key" -> parse<KeyConfig>(entry.name, value).bind().also { keys[it] = entry.name }
                "service" -> parse<ServiceConfig>(entry.name, value).bind().also { services[it.name] = it }
                "rule" -> rules += ruleOf(entry.name, parse<RuleConfig>(entry.name, value).bind()).bind()
                "home" -> parse<HomeSet>(entry.name, value).bind().also { homeSets[it.service] = it }
                "seat" -> parse<Seat>(entry.name, value).bind().also { seats[it.name] = it }
                "route" -> routes += checkRoute(entry.name, parse<RouteConfig>(entry.name, value).bind()).bind()
                else -> raise(ConfigError.UnknownKind(entry.name))
            }
        }
        keys.forEach { (key, entry) -> if (key.account !in accounts) raise(ConfigError.NoSuchAccount(entry, key.account)) }
        val order = compareBy<Rule>({ it.config.order }, { it.config.name })
        val accountByHash = keys.keys.associate { it.hash to it.account }
        ConfigIndex(accounts, accountByHash, services, rules.sortedWith(order), homeSets, seats, RouteTable(routes))
    }

private fun checkAccount(entry: String, account: AccountConfig): Either<ConfigError, AccountConfig> =
    when {
        account.ratePerSecond !in 0.0..MAX_RATE_PER_SECOND ->
            ConfigError.OutOfRange(entry, "ratePerSecond must be from 0 to $MAX_RATE_PER_SECOND").left()
        account.burst !in 0.0..MAX_RATE_PER_SECOND -> ConfigError.OutOfRange(entry, "burst must be from 0 to $MAX_RATE_PER_SECOND").left()
        !(account.weight > 0.0 && account.weight.isFinite()) -> ConfigError.OutOfRange(entry, "weight must be above 0").left()
        else -> account.right()
    }

private fun checkRoute(entry: String, route: RouteConfig): Either<ConfigError, RouteConfig> =
    when {
        route.targets.isEmpty() || route.targets.any { !(it.weight >= 0.0) } || route.targets.none { it.weight > 0.0 } ->
            ConfigError.OutOfRange(entry, "targets must name a service and weights from 0 up, one above 0").left()
        route.timeoutMs < 1 -> ConfigError.OutOfRange(entry, "timeoutMs must be above 0").left()
        !route.prefix.startsWith('/') -> ConfigError.OutOfRange(entry, "prefix must begin with a slash").left()
        else -> route.right()
    }

private fun ruleOf(entry: String, config: RuleConfig): Either<ConfigError, Rule> =
    parseSelector(config.selector)
        .mapLeft { ConfigError.BadValue(entry, it.message) }
        .map { Rule(config, it) }

private inline fun <reified T> parse(entry: String, value: String): Either<ConfigError, T> =
    Either
        .catchOrThrow<SerializationException, T> { json.decodeFromString<T>(value) }
        .mapLeft {
            ConfigError.BadValue(
                entry,
                it.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
        }

/** Parses a stored document from its JSON text. */
fun parseDocument(text: String): Either<ConfigError, ConfigDocument> = parse("document", text)

/** Returns the JSON text of this document. */
fun ConfigDocument.toJson(): String = json.encodeToString(ConfigDocument.serializer(), this)

/** Returns the configuration of this document, or an empty configuration if it is not valid. */
fun ConfigDocument.toConfigurationOrEmpty(): Configuration = Configuration.of(this).getOrElse { Configuration.EMPTY }
