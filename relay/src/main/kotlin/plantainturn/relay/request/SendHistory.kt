package plantainturn.relay.request

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** The sends of one request so far, which decide whether it may be sent once more, and how. */
internal class SendHistory(
    private val context: RelayContext,
    private val exchange: RelayExchange,
) {
    private val sentTo = HashSet<UpstreamName>()

    /** The number of instances that may run the request. */
    val attempts: Int = exchange.account.terms?.attempts ?: exchange.route.attempts

    /** Sends that an instance or another node received. */
    var arrivals: Int = 0

    /** Sends that may have run. */
    var runs: Int = 0
        private set

    /** Whether the request may have run, so that no answer may say otherwise. */
    var mayHaveRun: Boolean = false

    /** Records that a send has run, or may have. */
    fun onRun() {
        runs += 1
        mayHaveRun = true
    }

    /** Returns whether the request may be sent once more; each repetition counts against the bound of all nodes. */
    fun mayRepeat(): Boolean {
        if (arrivals == 0) return true
        if (runs >= attempts || arrivals >= RequestLimits.MAXIMUM_ARRIVALS) return false
        val service = exchange.service.name
        val decision = context.repetitionBudget.tryRepeat(service, context.timer.now())
        context.metrics.onRepetition(decision.granted)
        context.eventLog.record(exchange.request.identifier, "repetition", "service=$service $decision")
        return decision.granted
    }

    /**
     * Returns the maximal idle time of the connection to use, or null for a new connection.
     *
     * A repeated send to the same instance needs a new connection: on a reused one, a late second answer to the
     * earlier send could be taken for the answer to this one. So does a request that broke off before, which is
     * [isSuspect]: an idle connection may be dead, which would be taken for another crash.
     */
    fun maximumIdle(
        instance: UpstreamName,
        isSuspect: Boolean,
    ): Duration? =
        when {
            !sentTo.add(instance) || isSuspect -> null
            exchange.route.repetition.repeatable -> RequestLimits.MAXIMUM_IDLE_IF_REPEATABLE
            else -> RequestLimits.MAXIMUM_IDLE_IF_NOT_REPEATABLE
        }
}
