package plantainturn.standins.internal

import io.javalin.http.Context
import plantainturn.connection.engine.CompletionsEvent
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.TokenChunk
import plantainturn.standins.DeterministicAnswer
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** One attempt on an engine stand-in: waits for its slot and then writes a token at each step of the timer. */
internal class Generation(
    val request: GenerationRequest,
    private val context: Context,
    private val weights: HeldWeights,
    private val engine: GenerationEngine,
) {
    /** Completes when the answer has been written, or will never be. */
    val done = CompletableFuture<Unit>()

    private val lock = ReentrantLock()
    private val answer = DeterministicAnswer(request.target, request.prompt)
    private val total = minOf(request.maximumTokens, engine.settings.naturalTokens)
    private var position = request.resumePosition
    private var sent = 0
    private var fault = StreamFault.NONE
    private var ended = false

    /** Begins to run. */
    fun start() {
        if (lock.withLock { ended }) return
        if (request.resumeText != answer.text(0, request.resumePosition)) engine.resumeMismatch()
        fault = engine.takeStreamFault()
        val crashed = engine.began(this)
        if (!crashed) engine.timer.schedule(engine.firstTokenDelay(this), ::step)
    }

    /** Ends the attempt without an end of the answer. */
    fun abort() {
        val first = lock.withLock { !ended.also { ended = true } }
        if (!first) return
        context.breakConnection()
        end()
    }

    private fun step() {
        try {
            val goOn = lock.withLock { !ended && write() }
            if (goOn) engine.timer.schedule(engine.tokenDelay(), ::step)
        } catch (_: IOException) {
            abort()
        } catch (_: IllegalStateException) {
            abort()
        }
    }

    /** Writes the next token or the end; returns whether more follows. */
    private fun write(): Boolean {
        if (fault != StreamFault.NONE && sent >= engine.faults().faultAfterTokens) {
            if (fault == StreamFault.BREAK) engine.timer.schedule(engine.tokenDelay(), ::abort)
            return false
        }
        if (position >= total) {
            finish()
            return false
        }
        writeTokens()
        return true
    }

    private fun writeTokens() {
        val cross = engine.faults().crossChunks && position + 1 < total
        val positions = if (cross) listOf(position + 1, position) else listOf(position)
        positions.forEach { writeToken(it) }
        if (engine.faults().doubleChunks) positions.forEach { writeToken(it) }
        position += positions.size
        sent += positions.size
        engine.generated(positions.size)
    }

    private fun writeToken(at: Int) {
        writeEvent(CompletionsEvent.of(TokenChunk(request.request, request.attempt, at, answer.token(at))))
    }

    private fun finish() {
        val reason = if (total < request.maximumTokens) "stop" else "length"
        writeEvent(CompletionsEvent.finish(request.request, request.attempt, total, reason))
        writeData(CompletionsEvent.DONE)
        ended = true
        end()
    }

    private fun end() {
        engine.ended(this, weights)
        done.complete(Unit)
    }

    private fun writeEvent(event: CompletionsEvent) {
        writeData(StandInServer.JSON.encodeToString(CompletionsEvent.serializer(), event))
    }

    private fun writeData(data: String) {
        val response = context.res()
        if (!response.isCommitted) {
            response.status = OK
            response.contentType = "text/event-stream"
        }
        response.outputStream.write("data: $data\n\n".encodeToByteArray())
        response.outputStream.flush()
    }

    private companion object {
        const val OK = 200
    }
}

/** What goes wrong with one stream. */
internal enum class StreamFault { NONE, BREAK, SILENCE }
