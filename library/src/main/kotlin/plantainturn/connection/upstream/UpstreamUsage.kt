package plantainturn.connection.upstream

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.ConcurrentHashMap

/**
 * Accounts for what this node sends to each upstream and limits how much is in flight there.
 *
 * Each upstream has a limit that adapts to the first tokens observed there. Safe for use by several threads; each
 * upstream's account has its own lock.
 */
public class UpstreamUsage {
    private val accounts = ConcurrentHashMap<UpstreamName, SingleUpstreamUsage>()

    /** Returns the permit for one attempt at [name], or null if its limit is reached. */
    public fun tryBegin(
        name: UpstreamName,
        specification: UpstreamSpecification,
        now: Moment,
    ): SendPermit? {
        val account = accountOf(name, specification)
        return if (account.tryBegin(specification.concurrency, now)) SendPermit(name, account, now) else null
    }

    /**
     * Returns this node's use of [name].
     *
     * @param since the moment from which [UpstreamUse.netSince] counts; null counts all that is in flight
     */
    public fun read(
        name: UpstreamName,
        specification: UpstreamSpecification,
        since: Moment?,
        now: Moment,
    ): UpstreamUse = accountOf(name, specification).read(specification.concurrency, since, now)

    /** Forgets all upstreams that are not in [names], unless attempts are in flight there. */
    public fun retain(names: Set<UpstreamName>) {
        accounts.entries.removeIf { (name, account) -> name !in names && account.isIdle() }
    }

    private fun accountOf(
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): SingleUpstreamUsage =
        accounts[name] ?: accounts.computeIfAbsent(name) { SingleUpstreamUsage(specification.concurrency) }
}
