package wigeonreel.http

import wigeonreel.settings.SettingsReader

/** Returns the address of [key], which must have the form host:port. */
fun SettingsReader.address(key: String): HttpAddress {
    val found = text(key, expected = "an address as host:port")
    return HttpAddress.parse(found) ?: HttpAddress("invalid", 1).also { if (found.isNotEmpty()) reject(key, "an address as host:port") }
}
