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
 * announcement is kept for a moment: for [lapseGrace] in general, and until [regainGrace] after the store's return if
 * the store was away. An instance that says in an answer that it leaves counts as leaving until another run of it
 * begins, whatever its entry says and however often that goes and comes back. Confined to one thread.
 *
 * @param lapseGrace shorter than the time within which requests to an instance that left must end
 * @param regainGrace the time in which entries that lapsed during an outage come back
 */
public class InstanceRoster(
    private val lapseGrace: Duration = DEFAULT_LAPSE_GRACE,
    private val regainGrace: Duration = DEFAULT_RETURN_GRACE,
) {
    private var storeAway = false
    private var storeReturnedAt: Moment? = null
    private val lapsing = HashMap<UpstreamName, Moment>()
    private val departures = LinkedHashSet<InstanceRun>()

    /** The instances by name. */
    public var instances: PersistentMap<UpstreamName, UpstreamInstance> = persistentMapOf()
        private set

    /** Takes over the entry of one instance. */
    public fun put(instance: UpstreamInstance) {
        lapsing.remove(instance.name)
        val told = if (instance.run in departures) instance.copy(leaving = true) else instance
        instances = instances.put(instance.name, told)
    }

    /** Notes that [run] itself said that it leaves, and returns whether that is news. */
    public fun markLeaving(run: InstanceRun): Boolean {
        if (!departures.add(run)) return false
        if (departures.size > DEPARTURES_KEPT) departures.remove(departures.first())
        instances[run.name]?.takeIf { it.run == run }?.let {
            instances = instances.put(run.name, it.copy(leaving = true))
        }
        return true
    }

    /** Returns which of the instances that have an entry said by themselves that they leave. */
    public fun departures(): List<InstanceRun> = departures.filter { instances[it.name]?.run == it }

    /** Whether [instance] is known just so and its entry is not missing, so that hearing it again changes nothing. */
    public fun isCurrent(instance: UpstreamInstance): Boolean {
        val told = if (instance.run in departures) instance.copy(leaving = true) else instance
        return instances[instance.name] == told && instance.name !in lapsing
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
    public fun onStoreLost() {
        storeAway = true
    }

    /** Notes that the store answers again. */
    public fun onStoreRegained(now: Moment) {
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
        return if (returned == null) general else maxOf(general, returned + regainGrace)
    }

    private fun drop(name: UpstreamName) {
        lapsing.remove(name)
        instances = instances.remove(name)
    }

    private companion object {
        val DEFAULT_LAPSE_GRACE = 1_200.milliseconds
        val DEFAULT_RETURN_GRACE = 2_200.milliseconds

        /** Far more runs than can leave before their entries go for good. */
        const val DEPARTURES_KEPT = 4_096
    }
}
