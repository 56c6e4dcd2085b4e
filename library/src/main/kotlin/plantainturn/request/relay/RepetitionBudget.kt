package plantainturn.request.relay

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName

/**
 * Limits how often this node sends a request to a further instance (a repetition), so that all nodes together stay
 * within the deployment's limit without coordination for each request.
 *
 * Load pattern: all instances of a service fail part of their requests while callers retry by themselves. Each node may
 * use a fraction of its own requests in a sliding window, plus its share of the deployment's fixed number. Confined to
 * one thread.
 *
 * @param settings the deployment's limit; part of it is left unused because windows slide
 * @param share fraction of the fixed repetitions that this node may use; over all processes at most 1
 */
public class RepetitionBudget(
    public var settings: RepetitionSettings,
    private val share: (Moment) -> Double,
) {
    private val windows = HashMap<ServiceName, Window>()

    /** Records that a caller's request for [service] arrived. */
    public fun onRequest(
        service: ServiceName,
        now: Moment,
    ) {
        windowOf(service).requests.addLast(now)
    }

    /** Takes one repetition at [service] from the budget, if one is left. */
    public fun tryRepeat(
        service: ServiceName,
        now: Moment,
    ): RepetitionDecision {
        val window = windowOf(service)
        window.dropBefore(now - settings.window)
        val fraction = share(now)
        val limit = settings.usedShare * (settings.ratio * window.requests.size + settings.fixed * fraction)
        val granted = window.repetitions.size + 1 <= limit
        if (granted) window.repetitions.addLast(now)
        return RepetitionDecision(granted, window.repetitions.size, limit, window.requests.size, fraction)
    }

    private fun windowOf(service: ServiceName): Window = windows.getOrPut(service) { Window() }

    private class Window {
        val requests = ArrayDeque<Moment>()
        val repetitions = ArrayDeque<Moment>()

        fun dropBefore(limit: Moment) {
            while (requests.firstOrNull()?.let { it < limit } == true) requests.removeFirst()
            while (repetitions.firstOrNull()?.let { it < limit } == true) repetitions.removeFirst()
        }
    }
}
