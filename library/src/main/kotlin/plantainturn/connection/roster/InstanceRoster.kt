package plantainturn.connection.roster

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The instances that may get requests, folded from their entries in the store.
 *
 * An entry also lapses when its writer could not reach the store, so an instance whose entry went without an
 * announcement is kept for a moment: for [lapseGrace] in general, and until [returnGrace] after the store's return if
 * the store was away. Confined to one thread.
 *
 * @param lapseGrace shorter than the time within which requests to an instance that left must end
 * @param returnGrace the time in which entries that lapsed during an outage come back
 */
public class InstanceRoster(
    private val lapseGrace: Duration = DEFAULT_LAPSE_GRACE,
    private val returnGrace: Duration = DEFAULT_RETURN_GRACE,
) {
    private var storeAway = false
    private var storeReturnedAt: Moment? = null
    private val lapsing = HashMap<UpstreamName, Moment>()

    /** The instances by name. */
    public var instances: PersistentMap<UpstreamName, UpstreamInstance> = persistentMapOf()
        private set

    /** Takes over the entry of one instance. */
    public fun put(instance: UpstreamInstance) {
        lapsing.remove(instance.name)
        instances = instances.put(instance.name, instance)
    }

    /** Notes that the entry of [name] is gone. */
    public fun remove(
        name: UpstreamName,
        now: Moment,
    ) {
        val known = instances[name] ?: return
        if (known.leaving) {
            drop(name)
        } else {
            lapsing.putIfAbsent(name, now)
        }
    }

    /** Takes over all entries; instances without one are treated as removed. */
    public fun replace(
        all: List<UpstreamInstance>,
        now: Moment,
    ) {
        val present = all.associateBy { it.name }
        instances.keys.filter { it !in present }.forEach { remove(it, now) }
        all.forEach(::put)
    }

    /** Notes that the store stopped answering. */
    public fun storeLost() {
        storeAway = true
    }

    /** Notes that the store answers again. */
    public fun storeReturned(now: Moment) {
        storeAway = false
        storeReturnedAt = now
    }

    /** Drops what has been missing for long enough and returns the names dropped. */
    public fun expire(now: Moment): List<UpstreamName> {
        if (storeAway || lapsing.isEmpty()) return emptyList()
        val gone = lapsing.filterValues { now >= endOfGrace(it) }.keys.toList()
        gone.forEach(::drop)
        return gone
    }

    /** Returns the instances that may get requests now. */
    public fun serving(): PersistentMap<UpstreamName, UpstreamInstance> =
        instances.filterValues { !it.leaving }.toPersistentMap()

    private fun endOfGrace(missingSince: Moment): Moment {
        val returned = storeReturnedAt
        val general = missingSince + lapseGrace
        return if (returned == null) general else maxOf(general, returned + returnGrace)
    }

    private fun drop(name: UpstreamName) {
        lapsing.remove(name)
        instances = instances.remove(name)
    }

    private companion object {
        val DEFAULT_LAPSE_GRACE = 1_200.milliseconds
        val DEFAULT_RETURN_GRACE = 2_200.milliseconds
    }
}
