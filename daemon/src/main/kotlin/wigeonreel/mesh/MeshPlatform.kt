package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.control.ControlPolicy
import wigeonreel.store.TableService

/** Protocols of one platform towards its callers, backend servers, configuration and store. */
class MeshPlatform(
    val callers: CallerProtocol,
    val servers: ServerProtocol,
    val control: ControlPolicy,
    val connectTable: (EventLoopGroup) -> TableService,
)
