package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.relay.http.AnswerOwnership
import plantainturn.relay.http.AnswerReceiver
import plantainturn.relay.http.ConnectionResult
import plantainturn.relay.http.UpstreamConnection
import plantainturn.request.relay.DispatchDecision
import plantainturn.request.relay.FailureKind
import plantainturn.request.relay.InstancePace
import plantainturn.request.relay.RequestWork
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * One send of a request to one instance, and its answer.
 *
 * Buffers short answers until they are complete and forwards streams as they arrive. The [RelayExchange] decides what
 * the result means for the request.
 */
internal class RelayAttempt(
    private val context: RelayContext,
    private val exchange: RelayExchange,
    val instance: UpstreamInstance,
    private val parameters: SendParameters,
    private val work: RequestWork,
    private val decision: DispatchDecision.Send,
) : AnswerReceiver,
    AnswerSource {
    private val stats = context.links.stats(instance)
    private val begunAt = context.timer.now()
    private var connection: UpstreamConnection? = null
    private var head: HttpResponse? = null
    private var metadata: AnswerMetadata? = null
    private val buffered = ShortAnswer()
    private var promptRead = false
    private var earlierOnConnection = 0
    private var ended = false
    private var crowding = 1.0

    override var sentAt: Moment? = null
        private set

    override val origin: UpstreamInstance
        get() = instance

    /** Whether the instance has begun to answer. */
    val isAnswering: Boolean
        get() = head != null

    private var lastHeardAt = begunAt
    private var isReading = true

    /** When the instance last sent something, or the attempt began; the present while this node doesn't read. */
    val heardAt: Moment
        get() = if (isReading) lastHeardAt else context.timer.now()

    /** Whether the answer is forwarded as it arrives. */
    var isStreaming: Boolean = false
        private set

    override var isDelimited: Boolean = false
        private set

    override val heldBytes: Long
        get() = if (isStreaming) exchange.heldBytes else buffered.capacity.toLong()

    /** Sends the request on a connection that was idle for [reuse] at most, or on a new one if [reuse] is null. */
    fun begin(reuse: Duration?) {
        crowding = stats.crowding(instance.concurrency, begunAt)
        stats.begin(work, begunAt)
        exchange.request.demand?.let {
            context.demand.onAdapterRunning(it, 1)
            context.links.onRun(instance.name, it.model, 1)
            context.links.prompts.onSend(instance.name, it)
        }
        stats.health.onSend(begunAt)
        context.links.pool(instance).acquire(reuse) { result ->
            when (result) {
                is ConnectionResult.Ready -> write(result.connection)
                is ConnectionResult.Failed -> if (!ended) unreachable(result.reason)
            }
        }
    }

    /** Ends the attempt without a result; the instance sees that the connection closes and cancels the request. */
    fun cancel() {
        if (ended) return
        releaseWork()
        stats.health.onNeutral()
        connection?.abandon()
        buffered.release()
        context.metrics.onSend("cancelled")
    }

    /** Ends the attempt because the instance was silent for too long. */
    fun giveUpAsSilent() {
        cancel()
        failed(FailureKind.SILENT)
    }

    override fun setReading(reading: Boolean) {
        lastHeardAt = heardAt
        isReading = reading
        connection?.setReading(reading)
    }

    private fun write(ready: UpstreamConnection) {
        if (ended || !exchange.isStillWanted()) {
            context.links.pool(instance).onIdle(ready)
            return
        }
        connection = ready
        sentAt = context.timer.now()
        val left = exchange.timeLeft()
        val body =
            exchange.request.source.body
                .retainedDuplicate()
        // The key may have moved to another account while the connection was opened.
        val current =
            parameters.copy(
                timeLeft = left,
                hasAccounts = exchange.account.hasAccounts,
                account = exchange.account.account?.name,
            )
        val message = context.dialect.upstreamRequest(exchange.request, body, current)
        if (exchange.account.terms != null) message.headers().remove(ForwardTerms.HEADER)
        context.links.reach.onSent(instance)
        ready.send(message, this)
    }

    private fun unreachable(reason: String) {
        releaseWork()
        failed(FailureKind.UNREACHABLE)
        context.links.reach.onFailure(instance)
        context.metrics.onSend("unreachable")
        exchange.onNotSent(this, reason)
    }

    /** Accepts a refusal only if it can't be the answer to another request or to an earlier send of this one. */
    override fun ownershipOf(
        head: HttpResponse,
        earlier: Int,
    ): AnswerOwnership {
        val identifier = context.dialect.answerMetadata(head).identifier
        val ownership =
            when {
                identifier == exchange.request.identifier.value -> AnswerOwnership.OWN
                identifier != null || head.status().code() < RequestLimits.FIRST_FAILURE -> AnswerOwnership.OTHER
                earlier == 0 -> AnswerOwnership.OWN
                else -> AnswerOwnership.UNCLEAR
            }
        earlierOnConnection = earlier
        if (ownership != AnswerOwnership.OWN) {
            context.metrics.onOtherAnswer()
            context.eventLog.record(
                exchange.request.identifier,
                "other-answer",
                "$this answered=$identifier status=${head.status().code()} earlierOnConnection=$earlier",
            )
        }
        return ownership
    }

    override fun onHead(head: HttpResponse) {
        val now = context.timer.now()
        lastHeardAt = now
        sentAt?.let(stats::onAnswerBegun)
        onHeard(now)
        this.head = head
        isDelimited = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head)
        val decoded = context.dialect.answerMetadata(head)
        metadata = decoded
        decoded.load?.let { stats.onReportedLoad(it, now) }
        val success = head.status().code() < RequestLimits.FIRST_FAILURE && decoded.signed
        isStreaming = success && (exchange.route.repetition.streams || isLong(head))
    }

    override fun onContent(content: ByteBuf) {
        if (ended) return
        val now = context.timer.now()
        lastHeardAt = now
        onHeard(now)
        onFirstContent(now)
        if (isStreaming) {
            exchange.onStreamContent(this, requireNotNull(head), content)
        } else {
            buffered.add(content)?.let(::onBroken)
        }
    }

    private fun onHeard(now: Moment) {
        stats.onHeard(now)
        context.links.reach.onHeard(instance)
    }

    override fun onEnd() {
        if (ended) return
        releaseWork()
        val now = context.timer.now()
        val answer = requireNotNull(head)
        val metadata = requireNotNull(this.metadata)
        val status = answer.status().code()
        val incompleteness = if (isStreaming) exchange.incompleteness(this) else null
        when {
            metadata.notRun -> refused(metadata, status)
            incompleteness != null -> {
                failed(FailureKind.BROKEN)
                context.metrics.onSend("broken")
                exchange.onBroken(this, incompleteness)
            }
            isStreaming -> {
                succeeded(now)
                exchange.onStreamEnd(this, answer)
            }
            status < RequestLimits.FIRST_FAILURE && !metadata.signed -> {
                failed(FailureKind.BROKEN)
                context.metrics.onSend("unsigned")
                exchange.onBroken(this, "successful answer without the signature of the instance")
            }
            else -> answered(status, metadata, now)
        }
        buffered.release()
    }

    override fun onBroken(reason: String) {
        if (ended) return
        releaseWork()
        connection?.abandon()
        failed(FailureKind.BROKEN)
        context.links.reach.onFailure(instance)
        context.metrics.onSend("broken")
        buffered.release()
        exchange.onBroken(this, reason)
    }

    private fun refused(
        metadata: AnswerMetadata,
        status: Int,
    ) {
        if (metadata.misdirected) stats.health.onNeutral() else failed(FailureKind.REFUSED)
        context.metrics.onSend("refused")
        val evidence = "status=$status answered=${metadata.identifier} earlierOnConnection=$earlierOnConnection"
        exchange.onRefused(this, metadata.misdirected, evidence)
    }

    private fun answered(
        status: Int,
        metadata: AnswerMetadata,
        now: Moment,
    ) {
        if (status >= RequestLimits.FIRST_SERVER_FAILURE) failed(FailureKind.ERROR) else succeeded(now)
        context.metrics.onSend(if (status >= RequestLimits.FIRST_SERVER_FAILURE) "error" else "answered")
        exchange.onAnswer(this, requireNotNull(head), buffered.retained(), metadata)
    }

    private fun succeeded(now: Moment) {
        stats.health.onSuccess(now)
        stats.pace.onSuccess(now)
        val time = now - (sentAt ?: begunAt)
        if (!exchange.route.repetition.streams) stats.onAnswerTime(time)
        if (exchange.request.demand == null) stats.pace.onSample(time.toDouble(DurationUnit.SECONDS) / crowding, now)
    }

    private fun failed(kind: FailureKind) {
        val now = context.timer.now()
        stats.pace.onFailure(now)
        if (stats.health.onFailure(kind, now)) {
            context.eventLog.record(exchange.request.identifier, "suspected", "instance=${instance.name} kind=$kind")
        }
    }

    private fun onFirstContent(now: Moment) {
        if (promptRead) return
        promptRead = true
        stats.onPrefillDone(work)
        val demand = exchange.request.demand ?: return
        context.links.prompts.onPrefillEnd(instance.name, demand)
        context.links.prompts.onPrefillDone(instance.name, demand)
        val sent = sentAt ?: return
        val tokens = decision.tokensAhead + work.prefillTokens
        // With a wait for a slot, or with few tokens, the time says little about the engine's speed.
        if (crowding == 1.0 && tokens >= InstancePace.MINIMUM_SAMPLE_TOKENS) {
            stats.pace.onSample((now - sent) / context.timeEstimator.timeToFirstEvent(demand.model, tokens), now)
        }
        if (decision.tokensAhead == 0) context.timeEstimator.observe(demand.model, work.prefillTokens, now - sent)
    }

    private fun releaseWork() {
        ended = true
        stats.end(work, promptRead)
        val demand = exchange.request.demand ?: return
        context.demand.onAdapterRunning(demand, -1)
        context.links.onRun(instance.name, demand.model, -1)
        if (!promptRead) context.links.prompts.onPrefillEnd(instance.name, demand)
    }

    private fun isLong(head: HttpResponse): Boolean = HttpUtil.getContentLength(head, 0L) > ShortAnswer.MAXIMUM_BYTES

    override fun toString(): String =
        "instance=${instance.name} version=${instance.softwareVersion} rank=${parameters.rank} " +
            "ahead=${decision.tokensAhead} expected=${decision.expected}"
}
