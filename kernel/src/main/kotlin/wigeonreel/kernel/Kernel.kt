package wigeonreel.kernel

import java.util.concurrent.ConcurrentHashMap

/** Component of a process that the [Kernel] starts and stops. */
interface Service {
    /** Unique name by which other services look this one up. */
    val name: String

    /** Starts the service; services registered earlier are already running. */
    fun start() {}

    /** Stops the service; services registered earlier are still running. */
    fun stop() {}
}

/** Microkernel of a process: a registry of services that look each other up by name. */
class Kernel {
    private val services = ConcurrentHashMap<String, Service>()
    private val startOrder = mutableListOf<Service>()

    /** Registers [service]; services start in the order of registration. */
    fun <S : Service> register(service: S): S {
        check(services.putIfAbsent(service.name, service) == null) { "duplicate service name: ${service.name}" }
        startOrder += service
        return service
    }

    /** Returns the registered service [name], which must be of type [S]. */
    inline fun <reified S : Service> find(name: String): S = lookup(name) as S

    /** Returns the registered service [name] of any type. */
    fun lookup(name: String): Service =
        services[name] ?: error("service '$name' is not registered; register it before its dependents start")

    /** Starts all services in the order of registration. */
    fun start() = startOrder.forEach { it.start() }

    /** Stops all services in the reverse order. */
    fun stop() = startOrder.reversed().forEach { it.stop() }
}
