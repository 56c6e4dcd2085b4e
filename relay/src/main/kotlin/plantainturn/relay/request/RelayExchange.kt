package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.Outcome
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerSubscription
import plantainturn.relay.http.CallerConnectionListener
import plantainturn.relay.http.CallerReply
import plantainturn.request.relay.DispatchDecision
import plantainturn.request.relay.PermitRequest
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.Route
import plantainturn.version.route.ServiceDefinition
import kotlin.time.Duration

/**
 * One request of a caller, from its arrival to its single final answer.
 *
 * The request is sent to one instance at a time. The answer says "not run" only if it is certain that no send so far
 * has run.
 * Confined to the event loop.
 */
internal class RelayExchange(
    private val context: RelayContext,
    val request: RelayRequest,
    val route: Route,
    val service: ServiceDefinition,
    val account: RequestAccount,
    reply: CallerReply,
    private val onEnd: (RelayExchange) -> Unit,
) : CallerConnectionListener,
    WaitingRequest {
    private val arrivedAt = request.source.receivedAt
    private val deadline = arrivedAt + minOf(request.callerTimeout ?: route.timeout, route.timeout)
    private val answer = CallerAnswer(reply, route.repetition.streams)
    private val binding = StreamBinding(context, request, route.repetition, service.name, answer)
    private val traits = RelayRequestTraits.of(request)

    /** Selects the instance for each send. */
    val placement = RelayPlacement(context, request, service, traits.request, account)
    private val admission = RequestAdmission(context, request, account, ::refuse)
    private val avoided = LinkedHashSet<UpstreamName>()
    private val permitsDenied = HashSet<UpstreamName>()
    private var attempt: RelayAttempt? = null

    /** The sends of the request so far. */
    val history = SendHistory(context, this)
    private val detour = RequestDetour(context, this)
    private val silenceWatch = SilenceWatch(context, this, traits)
    private var failedConnections = 0
    private var ended = false

    /** The time that the request waits for a model or adapter. */
    val residenceWait = ResidenceWait(context, request, this)
    private var awaitingIssuer = false
    private var timer: TimerSubscription? = null

    override val urgency: Int
        get() = account.urgency

    override val accountName: ClientAccountName?
        get() = account.account?.name

    override val awaitedModel: ModelName?
        get() = request.demand?.model.takeIf { residenceWait.isWaiting && !awaitingIssuer }

    /** The event after which a stream is to be continued, null for a complete stream. */
    val resumeAfter: String?
        get() = answer.lastEvent ?: request.resumeAfter

    /** Whether only instances of one software version may go on with an answer that has begun. */
    val isBoundToVersion: Boolean
        get() = answer.hasBegun && binding.constraint != VersionConstraint.None

    /** The memory in bytes of the incomplete event that the answer has so far. */
    val heldBytes: Long
        get() = answer.heldBytes

    /** Starts the deadline timer and dispatches the request for the first time. */
    fun start() {
        timer = context.timer.schedule(timeLeft()) { onDeadline() }
        if (account.terms == null) countArrival()
        dispatch()
    }

    /** A request that another node has handed over was counted there. */
    private fun countArrival() {
        context.repetitionBudget.onRequest(service.name, context.timer.now())
        request.demand?.let {
            context.demand.onRequest(it, RequestLimits.REQUEST_WORTH, context.timeEstimator.typicalTime(it))
        }
    }

    /** Returns the time until the request's deadline. */
    fun timeLeft(): Duration = deadline - context.timer.now()

    /** Returns how much longer the caller waits for the beginning of the answer. */
    private fun timeLeftToBegin(): Duration {
        if (answer.hasBegun || !route.repetition.streams) return timeLeft()
        return minOf(timeLeft(), arrivedAt + route.eventTimeout - context.timer.now())
    }

    /**
     * Returns whether the request may still be sent, and ends it otherwise: its caller has left, or no time is left.
     *
     * The connection to the instance may have been established late, and neither the end of the caller's connection nor
     * the deadline's timer may have been handled yet.
     */
    fun isStillWanted(): Boolean {
        when {
            !answer.isAwaited() -> onCallerDisconnected()
            timeLeft() < RequestLimits.MINIMUM_USEFUL_TIME -> onDeadline()
            else -> return true
        }
        return false
    }

    override fun retryDispatch(): Boolean {
        if (ended || !residenceWait.isWaiting || awaitingIssuer) return false
        dispatch()
        return !ended && (!residenceWait.isWaiting || awaitingIssuer)
    }

    /** Ends a request that was not sent yet if the configuration that has come into force lacks its key. */
    fun onConfiguration() {
        if (!ended && !history.mayHaveRun && !isSent) admission.isKeyInForce()
    }

    /** Whether the request is at an instance or another node, or on its way there. */
    private val isUnderWay: Boolean
        get() = attempt != null || detour.isUnderWay

    /** Whether the request was written to an instance or another node, so that it may run. */
    private val isSent: Boolean
        get() = attempt?.sentAt != null || detour.isSent

    /** Ends what is under way, whose result is no longer needed, and returns whether the request may run through it. */
    private fun cancelAll(): Boolean {
        val sent = isSent
        if (sent) history.mayHaveRun = true
        attempt?.let(::cancel)
        attempt = null
        detour.cancel()
        return sent
    }

    /** Goes on by way of another node, as this one reaches no instance of [cutOff]. */
    fun onCutOff(cutOff: ServiceName) {
        if (ended || detour.isUnderWay || cutOff != service.name) return
        val running = attempt
        when {
            running == null -> dispatch()
            running.sentAt == null -> {
                running.cancel()
                onNotSent(running, "cut off")
            }
            route.repetition.repeatable && canTryElsewhere() -> {
                running.giveUpAsSilent()
                context.crashes.ended(traits, running.instance)
                continueElsewhere(running, "cut off")
            }
        }
    }

    private fun refuse(
        code: ResultCode,
        details: String,
        retryAfter: Duration?,
    ) {
        cancelAll()
        giveUp(code, ResultCode.OUTCOME_UNKNOWN, "$details waited=${residenceWait.elapsed}", retryAfter)
    }

    override fun onStopping(): Unit =
        giveUp(
            ResultCode.STOPPING,
            ResultCode.OUTCOME_UNKNOWN,
            "waited=${residenceWait.elapsed}",
            RequestLimits.STOPPING_RETRY_AFTER,
        )

    /** Ends the request because the time of this node ends. */
    fun onEndOfNode() {
        val details = "sent=${cancelAll()}"
        giveUp(ResultCode.STOPPING, ResultCode.OUTCOME_UNKNOWN, details, RequestLimits.STOPPING_RETRY_AFTER)
    }

    private fun dispatch() {
        if (ended || isUnderWay || !admission.isAdmitted(history.mayHaveRun, ::dispatch)) return
        val left = timeLeftToBegin()
        if (left < RequestLimits.MINIMUM_USEFUL_TIME) {
            giveUp(ResultCode.DEADLINE_PASSED_IN_QUEUE, ResultCode.DEADLINE_PASSED, "no time is left")
            return
        }
        if (detour.isNeeded && detour.begin()) return
        if (context.crashes.isBlocked(traits)) {
            onBlocked()
            return
        }
        val constraint = binding.constraint
        if (constraint == VersionConstraint.Unknown) awaitOrigin() else place(constraint, left)
    }

    private fun onBlocked() {
        if (context.crashes.claimTrial(traits) { dispatch() }) return
        val details = context.crashes.describe(traits)
        giveUp(ResultCode.QUARANTINED, ResultCode.OUTCOME_UNKNOWN, details, maximumRetryAfter())
    }

    /** Handles that another node would not have the request. */
    fun onNotForwarded(): Unit = dispatch()

    /** Ends the request with a refusal of another node for a reason that holds at any node. */
    fun onForwardRefused(
        refusal: BufferedAnswer,
        code: ResultCode,
        details: String,
    ) {
        if (history.mayHaveRun || answer.continuation != AnswerContinuation.ANY_ANSWER) {
            refusal.body.release()
            repeatOrGiveUp("$details code=$code")
        } else {
            answer.send(refusal)
            end(code, refusal.status, details)
        }
    }

    /** Handles an answer through another node that broke off; the request may have run. */
    fun onForwardBroken(
        reason: String,
        details: String,
    ) {
        recordBroken(details, reason)
        if (!ended) repeatOrGiveUp(reason)
    }

    private fun recordBroken(
        source: String,
        reason: String,
    ) {
        context.eventLog.record(
            request.identifier,
            "broken",
            "$source reason=\"$reason\" began=${answer.hasBegun} continuation=${answer.continuation}",
        )
        history.onRun()
        answer.discardPartial()
    }

    private fun place(
        constraint: VersionConstraint,
        left: Duration,
    ) {
        when (val step = placement.find(avoided, history.mayHaveRun, permitsDenied, timeBudget(), constraint)) {
            is PlacementStep.Decided -> execute(step)
            is PlacementStep.NeedsAdapter -> awaitAdapter(step)
            is PlacementStep.NeedsModel -> awaitModel(step.model, left)
        }
    }

    private fun awaitOrigin() {
        if (awaitingIssuer) return
        awaitingIssuer =
            binding.search {
                awaitingIssuer = false
                dispatch()
            }
        if (!awaitingIssuer) {
            val retryAfter = minOf(RequestLimits.ORIGIN_RETRY_AFTER, maximumRetryAfter())
            giveUp(ResultCode.NO_UPSTREAM, ResultCode.OUTCOME_UNKNOWN, "$binding", retryAfter)
        }
    }

    private fun timeBudget(): RequestTimeBudget {
        val objectiveLeft = if (answer.hasBegun) Duration.ZERO else arrivedAt + route.objective - context.timer.now()
        return RequestTimeBudget(objectiveLeft, timeLeftToBegin(), maximumRetryAfter())
    }

    private fun execute(step: PlacementStep.Decided) {
        val refusal = DispatchRefusal.of(step, binding.constraint)
        val decision = step.decision
        if (decision is DispatchDecision.Send) {
            send(decision, step)
        } else if (refusal != null) {
            giveUp(refusal.code, ResultCode.OUTCOME_UNKNOWN, refusal.details, refusal.retryAfter)
        }
    }

    private fun send(
        decision: DispatchDecision.Send,
        step: PlacementStep.Decided,
    ) {
        val instance = context.fleet.instance(decision.instance)
        if (instance != null && !context.links.permits.tryTake(instance)) {
            awaitPermit(instance, mayWait = step.unlimited == 0)
            return
        }
        if (instance == null || !history.mayRepeat() || !context.crashes.tryBegin(traits, instance)) {
            instance?.let(context.links.permits::putBack)
            giveUpRepeating()
            return
        }
        residenceWait.stop(sent = true)
        history.arrivals += 1
        val rank = if (request.demand == null) null else decision.rank
        val parameters = SendParameters(instance.name, timeLeft(), rank, resumeAfter)
        val work = placement.workAt(instance.name)
        val newAttempt = RelayAttempt(context, this, instance, parameters, work, decision)
        attempt = newAttempt
        context.eventLog.record(
            request.identifier,
            "send",
            "route=${route.name} configuration=${context.routing.current?.version} $newAttempt " +
                "candidates=${step.candidates} arrival=${history.arrivals} model=${request.demand?.model} " +
                "adapter=${request.demand?.adapter} limit=${context.links.limitOf(instance)} left=${timeLeft()} " +
                "fingerprint=${traits.request} parts=${request.demand?.parts?.map { it.identifier }.orEmpty()} " +
                "partFingerprints=${traits.parts} resumes=${request.resumedStream} " +
                "after=$resumeAfter",
        )
        newAttempt.begin(history.maximumIdle(instance.name, context.crashes.isSuspect(traits)))
        if (!ended) silenceWatch.start(newAttempt)
    }

    /** Ends the request as it may not be sent once more. */
    fun giveUpRepeating(): Unit =
        giveUp(
            ResultCode.RETRIES_EXHAUSTED_NOT_RUN,
            ResultCode.OUTCOME_UNKNOWN,
            "arrivals=${history.arrivals} runs=${history.runs}",
            RequestLimits.NO_UPSTREAM_RETRY_AFTER,
        )

    /**
     * Requests a permit to send to [instance], which limits its requests, and dispatches again.
     *
     * @param mayWait whether the permit may come later; the request goes elsewhere instead if another instance is free
     */
    private fun awaitPermit(
        instance: UpstreamInstance,
        mayWait: Boolean,
    ) {
        val limit = context.links.permitRateOf(instance) ?: return dispatch()
        val now = context.timer.now()
        val times = timeBudget()
        val patience =
            if (mayWait) PermitRequest.patience(times.objectiveLeft, times.timeLeft, limit) else Duration.ZERO
        awaitingIssuer = true
        context.links.permits.request(
            instance,
            PermitRequest(
                urgency,
                now + times.objectiveLeft,
                now + patience,
                hold =
                    context.links
                        .stats(instance)
                        .answerTime
                        ?.times(RequestLimits.HOLD_FACTOR)
                        ?: RequestLimits.UNKNOWN_HOLD,
            ),
        ) { granted ->
            awaitingIssuer = false
            context.metrics.onPermit(granted)
            context.eventLog.record(
                request.identifier,
                "permit",
                "instance=${instance.name} granted=$granted limit=$limit patience=$patience " +
                    "waited=${context.timer.now() - now} next=${context.links.permits.waitFor(instance, urgency)}",
            )
            if (!granted) permitsDenied += instance.name
            dispatch()
        }
    }

    private fun awaitAdapter(step: PlacementStep.NeedsAdapter) {
        residenceWait.start(timeLeftToBegin())
        if (awaitingIssuer) return
        awaitingIssuer = true
        context.peers.residence.wantAdapter(service.name, step.model, step.adapter, step.candidates) { engine ->
            awaitingIssuer = false
            when {
                ended -> Unit
                engine != null -> dispatch()
                !residenceWait.shouldWaitForAdapter() ->
                    giveUp(
                        ResultCode.NO_UPSTREAM,
                        ResultCode.OUTCOME_UNKNOWN,
                        "adapter=${step.adapter} waited=${residenceWait.elapsed}",
                        minOf(RequestLimits.ADAPTER_RETRY_AFTER, maximumRetryAfter()),
                    )
                else -> context.timer.schedule(RequestLimits.ADAPTER_RETRY_INTERVAL) { retryDispatch() }
            }
        }
    }

    /** Waits for a model that is being loaded only if the answer can still be in time to be useful. */
    private fun awaitModel(
        model: ModelName,
        left: Duration,
    ) {
        residenceWait.start(timeLeftToBegin())
        val arrival = context.peers.residence.expectedArrival(model)
        if (residenceWait.shouldWaitForModel(arrival, left)) return
        val usual =
            service.engines
                ?.models
                ?.get(model)
                ?.coldLoad ?: RequestLimits.MODEL_RETRY_AFTER
        val retryAfter = (arrival ?: usual).coerceAtMost(maximumRetryAfter())
        val details = "model=$model arrival=$arrival waited=${residenceWait.elapsed}"
        giveUp(ResultCode.NO_UPSTREAM, ResultCode.OUTCOME_UNKNOWN, details, retryAfter)
    }

    /** Returns the longest retry delay that a caller is told: a fixed part of the time it has left. */
    fun maximumRetryAfter(): Duration = timeLeft() / RequestLimits.RETRY_AFTER_DIVISOR

    /** Returns whether [attempt] is under way. */
    fun isCurrent(attempt: RelayAttempt): Boolean = !ended && this.attempt === attempt

    /** Handles that nothing came from [watched] during [silence]; goes on elsewhere if that can help. */
    fun onSilence(
        watched: RelayAttempt,
        silence: Duration,
    ) {
        val tried = avoided + watched.instance.name
        if (!placement.hasOther(tried, binding.constraint) || history.runs + 1 >= history.attempts) return
        // Only an engine that holds the model can go on with an answer that has begun; otherwise the silent one may.
        if (answer.hasBegun && !placement.isHeldElsewhere(tried)) {
            silenceWatch.checkAgain(watched)
            return
        }
        context.eventLog.record(request.identifier, "silent", "$watched quiet=$silence")
        watched.giveUpAsSilent()
        context.crashes.ended(traits, watched.instance)
        context.crashes.silent(traits, watched.instance)
        continueElsewhere(watched, "silent for $silence")
    }

    /** Handles a failed connection: the request was not sent, so the attempt does not count as an arrival. */
    fun onNotSent(
        failed: RelayAttempt,
        reason: String,
    ) {
        context.crashes.notSent(traits, failed.instance)
        context.eventLog.record(request.identifier, "not-sent", "$failed reason=\"$reason\"")
        attempt = null
        history.arrivals -= 1
        context.links.permits.putBack(failed.instance)
        avoided += failed.instance.name
        detour.onUnreachable(failed.instance.name)
        failedConnections += 1
        if (failedConnections > RequestLimits.MAXIMUM_ARRIVALS) {
            giveUp(
                ResultCode.NO_UPSTREAM,
                ResultCode.OUTCOME_UNKNOWN,
                "unreachable=$failedConnections",
                RequestLimits.NO_UPSTREAM_RETRY_AFTER,
            )
        } else {
            dispatch()
        }
    }

    /** Handles an instance's statement that it did not run the request; [evidence] describes the answer for the log. */
    fun onRefused(
        refused: RelayAttempt,
        misdirected: Boolean,
        evidence: String,
    ) {
        context.crashes.ended(traits, refused.instance)
        if (!misdirected) context.links.permits.onRefused(refused.instance)
        context.eventLog.record(request.identifier, "refused", "$refused misdirected=$misdirected $evidence")
        attempt = null
        avoided += refused.instance.name
        val demand = request.demand
        if (misdirected && demand != null) {
            context.fleet.onMisdirected(refused.instance.name, demand)
            avoided -= refused.instance.name
        }
        dispatch()
    }

    /** Handles a complete answer that was not streamed. */
    fun onAnswer(
        from: RelayAttempt,
        head: HttpResponse,
        body: ByteBuf,
        metadata: AnswerMetadata,
    ) {
        onAnswered(from, successful = head.status().code() < RequestLimits.FIRST_FAILURE)
        attempt = null
        avoided += from.instance.name
        onWholeAnswer("$from", head, body, metadata)
    }

    /** Handles a complete answer of an instance, also one that another node has brought. */
    fun onWholeAnswer(
        from: String,
        head: HttpResponse,
        body: ByteBuf,
        metadata: AnswerMetadata,
    ) {
        val status = head.status().code()
        history.onRun()
        if (metadata.claimsNotRun) {
            body.release()
            repeatOrGiveUp("status=$status without proof that the request did not run")
            return
        }
        val buffered = BufferedAnswer(status, context.dialect.callerHeaders(head), body)
        val failed = status >= RequestLimits.FIRST_SERVER_FAILURE && route.repetition.repeatable
        when {
            answer.continuation != AnswerContinuation.ANY_ANSWER -> {
                body.release()
                abortAnswer("status=$status when the stream was resumed")
            }
            failed && canTryElsewhere() -> {
                answer.keep(buffered)
                context.eventLog.record(request.identifier, "failed", "$from status=$status")
                dispatch()
            }
            else -> deliver(buffered, from)
        }
    }

    /** An answer that ends with its connection may have ended because the instance crashed. */
    private fun onAnswered(
        from: RelayAttempt,
        successful: Boolean,
    ) {
        if (from.isDelimited || !successful) {
            context.crashes.answered(traits, from.instance, successful)
        } else {
            context.crashes.answeredUntilClosed(traits, from.instance)
        }
    }

    private fun canTryElsewhere(): Boolean =
        history.runs < history.attempts &&
            timeLeft() > RequestLimits.MINIMUM_USEFUL_TIME &&
            (placement.hasOther(avoided, binding.constraint) || context.links.reach.isCutOff(service.name))

    /** Forwards [content] of a streamed answer; of an event stream only complete events are forwarded. */
    fun onStreamContent(
        from: AnswerSource,
        head: HttpResponse,
        content: ByteBuf,
    ) {
        val whole = answer.takeComplete(content)
        if (answer.exceedsMaximum) {
            whole?.release()
            from.onBroken("event exceeds the maximum size")
            return
        }
        if (whole == null) return
        if (!answer.hasBegun) {
            context.metrics.onFirstByte(context.timer.now() - arrivedAt)
            from.origin?.let { origin ->
                binding.onFirstEvent(origin, from.sentAt ?: arrivedAt) { onWritabilityChanged(answer.isWritable) }
            }
            val length = HttpUtil.getContentLength(head, RequestLimits.UNKNOWN_LENGTH).takeIf { it >= 0 }
            answer.begin(head.status().code(), context.dialect.callerHeaders(head), length)
            context.eventLog.record(
                request.identifier,
                "first-event",
                "$from after=${context.timer.now() - arrivedAt}",
            )
        }
        answer.write(whole)
        if (!answer.isWritable) from.setReading(false)
    }

    /** Returns why a streamed answer that the instance has ended is not complete, or null if it is. */
    fun incompleteness(from: AnswerSource): String? = answer.incompleteness(from.isDelimited)

    /** Handles the complete end of a streamed answer. */
    fun onStreamEnd(
        from: AnswerSource,
        head: HttpResponse,
    ) {
        if (from is RelayAttempt) onAnswered(from, successful = true)
        attempt = null
        detour.onEnd()
        history.mayHaveRun = true
        context.metrics.onSend("answered")
        if (!answer.hasBegun) answer.begin(RequestLimits.OK, context.dialect.callerHeaders(head), null)
        answer.finish()
        end(ResultCode.ANSWERED, RequestLimits.OK, "$from")
    }

    /** Handles an answer that broke off; the request may have run. */
    fun onBroken(
        broken: RelayAttempt,
        reason: String,
    ) {
        context.crashes.broke(traits, broken.instance)
        continueElsewhere(broken, reason)
    }

    private fun continueElsewhere(
        broken: RelayAttempt,
        reason: String,
    ) {
        recordBroken("$broken", reason)
        attempt = null
        avoided += broken.instance.name
        if (!ended) repeatOrGiveUp(reason)
    }

    private fun repeatOrGiveUp(reason: String) {
        val mayContinue = answer.continuation != AnswerContinuation.NOTHING
        if (mayContinue && route.repetition.repeatable && canTryElsewhere()) {
            dispatch()
        } else {
            giveUp(ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN, "reason=\"$reason\"")
        }
    }

    /** Cancels [running], whose result is no longer needed. A missing answer may mean that the instance crashed. */
    private fun cancel(running: RelayAttempt) {
        val silence = context.timer.now() - running.heardAt
        val unanswered =
            running.sentAt != null && (!running.isAnswering || silence > RequestLimits.CRASH_SUSPICION_SILENCE)
        context.crashes.ended(traits, running.instance)
        if (unanswered) context.crashes.silent(traits, running.instance)
        running.cancel()
    }

    private fun onDeadline() {
        if (ended) return
        val sent = cancelAll()
        giveUp(
            ResultCode.DEADLINE_PASSED_IN_QUEUE,
            ResultCode.DEADLINE_PASSED,
            "deadline=passed sent=$sent",
            RequestLimits.DEADLINE_RETRY_AFTER,
        )
    }

    /**
     * Ends the request without a further send.
     *
     * Delivers the error answer that was kept for this case, if there is one; otherwise answers with [notRun], or with
     * [otherwise] if the request may have run. A stream that has begun is aborted.
     */
    fun giveUp(
        notRun: ResultCode,
        otherwise: ResultCode,
        details: String,
        retryAfter: Duration? = null,
    ) {
        if (ended) return
        val ready = answer.takeKept()
        when {
            ready != null -> deliver(ready, "kept=true $details")
            answer.hasBegun -> abortAnswer(details)
            else -> {
                val code = if (history.mayHaveRun && notRun.outcome == Outcome.NOT_RUN) otherwise else notRun
                val wait = retryAfter.takeIf { code.outcome == Outcome.NOT_RUN }
                val headers = context.dialect.ownHeaders(request.identifier, code, wait)
                answer.send(BufferedAnswer(code.httpStatus, headers, Unpooled.EMPTY_BUFFER))
                end(code, code.httpStatus, "$details comeBackAfter=$wait")
            }
        }
    }

    private fun deliver(
        buffered: BufferedAnswer,
        details: String,
    ) {
        answer.send(buffered)
        val failed = buffered.status >= RequestLimits.FIRST_SERVER_FAILURE
        end(if (failed) ResultCode.UPSTREAM_FAILED else ResultCode.ANSWERED, buffered.status, details)
    }

    private fun abortAnswer(reason: String) {
        answer.abort()
        end(ResultCode.STREAM_BROKEN, ResultCode.STREAM_BROKEN.httpStatus, "reason=\"$reason\"")
    }

    override fun onCallerDisconnected() {
        if (ended) return
        cancelAll()
        end(
            ResultCode.CANCELLED,
            ResultCode.CANCELLED.httpStatus,
            "arrivals=${history.arrivals} began=${answer.hasBegun}",
        )
    }

    override fun onWritabilityChanged(writable: Boolean) {
        attempt?.setReading(writable)
        detour.setReading(writable)
    }

    private fun end(
        code: ResultCode,
        status: Int,
        details: String,
    ) {
        ended = true
        admission.close(history.mayHaveRun)
        residenceWait.stop(sent = false)
        timer?.cancel()
        silenceWatch.cancel()
        answer.release()
        request.source.body.release()
        val elapsed = context.timer.now() - arrivedAt
        context.metrics.onEnd(urgency, code, elapsed)
        val inputs = "elapsed=$elapsed route=${route.name} account=${account.account?.name}"
        context.eventLog.recordEnd(request.identifier, code, status, "$inputs $details")
        onEnd(this)
    }
}
