package wigeonreel.kernel

import java.util.concurrent.ConcurrentHashMap

/** Part of a process that the kernel starts and stops. */
interface Service {
    /** Name under which other services find this one. */
    val name: String

    /** Starts the service; services registered before it are running. */
    fun start() {}

    /** Stops the service; services registered before it are still running. */
    fun stop() {}
}

/** Micro-kernel of a process: services that find each other by name. */
class Kernel {
    private val services = ConcurrentHashMap<String, Service>()
    private val order = mutableListOf<Service>()

    /** Adds [service]; services start in the order in which they were added. */
    fun <S : Service> register(service: S): S {
        check(services.putIfAbsent(service.name, service) == null) { "two services are named ${service.name}" }
        order += service
        return service
    }

    /** Returns the service [name], which must have been registered. */
    inline fun <reified S : Service> find(name: String): S = lookup(name) as S

    /** Returns the service [name] without regard to its type. */
    fun lookup(name: String): Service = services[name] ?: error("no service is named $name; register it before its users start")

    /** Starts all services. */
    fun start() = order.forEach { it.start() }

    /** Stops all services, last started first. */
    fun stop() = order.reversed().forEach { it.stop() }
}
