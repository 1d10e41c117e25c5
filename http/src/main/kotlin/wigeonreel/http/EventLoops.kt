package wigeonreel.http

import io.netty.channel.DefaultSelectStrategyFactory
import io.netty.channel.EventLoopTaskQueueFactory
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultEventExecutorChooserFactory
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.RejectedExecutionHandlers
import io.netty.util.concurrent.ThreadPerTaskExecutor
import org.jctools.queues.MpscArrayQueue
import java.nio.channels.spi.SelectorProvider

/**
 * Returns the event loop of one duty: a single thread whose messages from other duties pass a bounded ring.
 *
 * @param ringCapacity messages that the ring holds; an offer to a full ring is refused with an exception.
 */
fun dutyLoop(name: String, ringCapacity: Int = 65_536): NioEventLoopGroup =
    NioEventLoopGroup(
        1,
        ThreadPerTaskExecutor(DefaultThreadFactory(name, true)),
        DefaultEventExecutorChooserFactory.INSTANCE,
        SelectorProvider.provider(),
        DefaultSelectStrategyFactory.INSTANCE,
        RejectedExecutionHandlers.reject(),
        EventLoopTaskQueueFactory { MpscArrayQueue<Runnable>(ringCapacity) },
    )
