package wigeonreel.load

import io.netty.channel.nio.NioEventLoopGroup
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.once.timeOrderedUuid
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** One load run: callers of several accounts send at a fixed rate regardless of the responses, and cancel requests at the timeout. */
internal class LoadRun(
    private val settings: LoadSettings,
    private val loop: NioEventLoopGroup,
    private val connector: HttpConnector,
) {
    private class Sender(
        val account: LoadAccount,
    ) {
        var dueRequests = 0.0
        var tokens = account.grantedPerSecond
    }

    private val random = Random(settings.seed)
    private val senders = settings.accounts.map { Sender(it) }
    private val startedMs = System.currentTimeMillis()
    private val recorder = RunRecorder(settings, startedMs)
    private val finished = CountDownLatch(1)
    private var lastTickMs = startedMs
    private var requestCount = 0L

    /** Runs to the end, waits one more timeout for the last responses, and returns the counters. */
    fun run(): RunRecorder {
        val ticker = loop.scheduleAtFixedRate(::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        finished.await()
        ticker.cancel(false)
        Thread.sleep(settings.timeoutMs)
        return recorder
    }

    private fun tick() {
        val nowMs = System.currentTimeMillis()
        val elapsedS = (nowMs - lastTickMs) / MS_PER_SECOND
        lastTickMs = nowMs
        if (nowMs - startedMs >= settings.seconds * MS_PER_SECOND) return finished.countDown()
        for (sender in senders) {
            sender.dueRequests += sender.account.sentPerSecond * surgeAt(nowMs) * elapsedS
            sender.tokens = (sender.tokens + sender.account.grantedPerSecond * elapsedS).coerceAtMost(sender.account.grantedPerSecond)
            while (sender.dueRequests >= 1.0) {
                sender.dueRequests -= 1.0
                send(sender, nowMs)
            }
        }
    }

    private fun surgeAt(nowMs: Long): Double {
        val third = settings.seconds * MS_PER_SECOND / 3
        return if (nowMs - startedMs in third.toLong()..(third * 2).toLong()) settings.surge else 1.0
    }

    private fun send(sender: Sender, nowMs: Long) {
        sender.tokens -= 1.0
        recorder.onSent(sender.account, nowMs)
        val target = settings.targets[random.nextInt(settings.targets.size)]
        val id = "${settings.seed}-${++requestCount}"
        val key =
            if (random.nextDouble() <
                settings.bookShare
            ) {
                timeOrderedUuid(nowMs, random.nextLong(), random.nextLong()).toString()
            } else {
                null
            }
        attempt(sender, target, requestOf(sender.account, id, key), id, nowMs)
    }

    private fun requestOf(account: LoadAccount, id: String, key: String?): HttpRequest {
        val headers =
            listOfNotNull(
                HttpHeader("Wigeon-Key", account.key),
                HttpHeader("Wigeon-Service", settings.service),
                HttpHeader("Wigeon-Timeout-Ms", settings.timeoutMs.toString()),
                HttpHeader("X-Request-Id", id),
                key?.let { HttpHeader("Idempotency-Key", it) },
            )
        return HttpRequest(if (key == null) "GET" else "POST", if (key == null) "/lookup" else "/book", headers)
    }

    private fun attempt(
        sender: Sender,
        target: HttpAddress,
        request: HttpRequest,
        id: String,
        sentMs: Long,
    ) {
        val startedNs = System.nanoTime()
        connector.send(target, request, settings.timeoutMs) { result ->
            when (result) {
                is HttpResult.Answer -> onAnswer(sender, result.response, id, sentMs, System.nanoTime() - startedNs)
                is HttpResult.NotSent -> recorder.onRefused(sender.account, "daemon-unreachable", wrongful = false)
                is HttpResult.Lost -> recorder.onRefused(sender.account, "no-answer", wrongful = false)
            }
        }
    }

    private fun onAnswer(
        sender: Sender,
        response: HttpResponse,
        id: String,
        sentMs: Long,
        elapsedNs: Long,
    ) {
        when {
            response.header("Wigeon-Outcome") != null -> onRefused(sender, kindOf(response))
            response.status != OK -> recorder.onRefused(sender.account, "status-${response.status}", wrongful = false)
            response.header("X-Request-Id") != id || response.body.isEmpty() -> recorder.onForeignAnswer()
            else -> recorder.onSuccess(sender.account, sentMs, elapsedNs)
        }
    }

    /**
     * Counts a refusal. A refusal as over the rate is wrongful if the account's token bucket still held a token for the request.
     * Requests that are refused as over the rate do not drain the bucket.
     */
    private fun onRefused(sender: Sender, kind: String) {
        val overRate = kind == RunRecorder.OVER_RATE
        recorder.onRefused(sender.account, kind, wrongful = overRate && sender.tokens >= 0.0)
        if (overRate) sender.tokens += 1.0
    }

    private fun kindOf(response: HttpResponse) = KIND.find(response.text)?.groupValues?.get(1) ?: "unknown"

    private companion object {
        const val TICK_MS = 2L
        const val MS_PER_SECOND = 1_000.0
        const val OK = 200
        val KIND = Regex("\"kind\":\"([a-z-]+)\"")
    }
}
