package wigeonreel.http

import wigeonreel.settings.SettingsReader

/** Returns the address at [key], in the form `host:port`; records an error and returns a placeholder if it is invalid. */
fun SettingsReader.address(key: String): HttpAddress {
    val value = text(key, expected = "an address as host:port")
    return HttpAddress.parse(value) ?: HttpAddress("invalid", 1).also { if (value.isNotEmpty()) reject(key, "an address as host:port") }
}
