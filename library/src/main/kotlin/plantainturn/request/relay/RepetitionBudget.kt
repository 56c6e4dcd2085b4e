package plantainturn.request.relay

import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName

/**
 * Bounds how often this node gives a request to a further instance, so that all nodes together stay within the
 * deployment's bound without asking each other for each request.
 *
 * Load pattern: all instances of a service fail part of their requests while callers repeat by themselves. Each node
 * may use a part of its own requests in a window, and its share of the deployment's fixed part. Confined to one thread.
 *
 * @param settings the deployment's bound; part of it is left unused, as windows slide
 * @param share the part of the fixed repetitions that this node may use; those of all processes add up to 1 at most
 */
public class RepetitionBudget(
    public var settings: RepetitionSettings,
    private val share: (Moment) -> Double,
) {
    private val windows = HashMap<ServiceName, Window>()

    /** Notes that a caller's request for [service] arrived. */
    public fun onRequest(
        service: ServiceName,
        now: Moment,
    ) {
        windowOf(service).requests.addLast(now)
    }

    /** Takes one repetition at [service], if there is one left. */
    public fun tryRepeat(
        service: ServiceName,
        now: Moment,
    ): RepetitionDecision {
        val window = windowOf(service)
        window.forget(now - settings.window)
        val part = share(now)
        val limit = settings.usedShare * (settings.ratio * window.requests.size + settings.fixed * part)
        val granted = window.repetitions.size + 1 <= limit
        if (granted) window.repetitions.addLast(now)
        return RepetitionDecision(granted, window.repetitions.size, limit, window.requests.size, part)
    }

    private fun windowOf(service: ServiceName): Window = windows.getOrPut(service) { Window() }

    private class Window {
        val requests = ArrayDeque<Moment>()
        val repetitions = ArrayDeque<Moment>()

        fun forget(before: Moment) {
            while (requests.firstOrNull()?.let { it < before } == true) requests.removeFirst()
            while (repetitions.firstOrNull()?.let { it < before } == true) repetitions.removeFirst()
        }
    }
}
