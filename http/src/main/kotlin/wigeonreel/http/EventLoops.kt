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
 * Returns a single-threaded event loop with a bounded queue for tasks from other threads.
 *
 * @param queueCapacity maximum number of queued tasks; a task submitted to a full queue is rejected with an exception.
 */
fun eventLoop(name: String, queueCapacity: Int = 65_536): NioEventLoopGroup =
    NioEventLoopGroup(
        1,
        ThreadPerTaskExecutor(DefaultThreadFactory(name, true)),
        DefaultEventExecutorChooserFactory.INSTANCE,
        SelectorProvider.provider(),
        DefaultSelectStrategyFactory.INSTANCE,
        RejectedExecutionHandlers.reject(),
        EventLoopTaskQueueFactory { MpscArrayQueue<Runnable>(queueCapacity) },
    )
