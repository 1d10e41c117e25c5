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
import java.util.concurrent.ThreadFactory

/**
 * Returns a single-threaded event loop with a bounded queue for tasks from other threads.
 *
 * @param queueCapacity maximum number of queued tasks; a task submitted to a full queue is rejected with an exception.
 * @param onThreadEnd called on the thread when it ends, after a shutdown or by an error; Netty starts no other one.
 */
fun eventLoop(name: String, queueCapacity: Int = 65_536, onThreadEnd: () -> Unit = {}): NioEventLoopGroup =
    NioEventLoopGroup(
        1,
        ThreadPerTaskExecutor(notifyingThreads(DefaultThreadFactory(name, true), onThreadEnd)),
        DefaultEventExecutorChooserFactory.INSTANCE,
        SelectorProvider.provider(),
        DefaultSelectStrategyFactory.INSTANCE,
        RejectedExecutionHandlers.reject(),
        EventLoopTaskQueueFactory { MpscArrayQueue<Runnable>(queueCapacity) },
    )

private fun notifyingThreads(threads: ThreadFactory, onThreadEnd: () -> Unit) =
    ThreadFactory { task ->
        threads.newThread {
            try {
                task.run()
            } finally {
                onThreadEnd()
            }
        }
    }
