package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.control.ControlPolicy
import wigeonreel.store.TableService

/** How a platform is spoken to: its callers, its backend servers, its configuration and its store. */
class MeshPlatform(
    val callers: CallerProtocol,
    val servers: ServerProtocol,
    val control: ControlPolicy,
    val connectTable: (EventLoopGroup) -> TableService,
)
