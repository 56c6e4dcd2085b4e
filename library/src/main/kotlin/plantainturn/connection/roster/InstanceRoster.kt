package plantainturn.connection.roster

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the instances that may receive requests, as described by their entries in the store.
 *
 * An entry also lapses if its writer can't reach the store, so an instance whose entry disappears without an
 * announcement is kept for [lapseGrace], and after a store outage at least until [regainGrace] after the store answers
 * again. An instance that announced in an answer that it is leaving counts as leaving until another run of it begins,
 * whatever its entry says and however often the entry disappears and returns. Confined to one thread.
 *
 * @param lapseGrace shorter than the time within which requests to an instance that left must end
 * @param regainGrace the time within which entries that lapsed during an outage are written again
 */
public class InstanceRoster(
    private val lapseGrace: Duration = DEFAULT_LAPSE_GRACE,
    private val regainGrace: Duration = DEFAULT_REGAIN_GRACE,
) {
    private var storeUnavailable = false
    private var storeRegainedAt: Moment? = null
    private val missingSince = HashMap<UpstreamName, Moment>()
    private val departures = LinkedHashSet<InstanceRun>()

    /** The instances by name. */
    public var instances: PersistentMap<UpstreamName, UpstreamInstance> = persistentMapOf()
        private set

    /** Adds [instance], or replaces its previous entry. */
    public fun put(instance: UpstreamInstance) {
        missingSince.remove(instance.name)
        val current = if (instance.run in departures) instance.copy(leaving = true) else instance
        instances = instances.put(instance.name, current)
    }

    /** Records that [run] announced that it is leaving, and returns whether this was not known before. */
    public fun markLeaving(run: InstanceRun): Boolean {
        if (!departures.add(run)) return false
        if (departures.size > MAXIMUM_DEPARTURES) departures.remove(departures.first())
        instances[run.name]?.takeIf { it.run == run }?.let {
            instances = instances.put(run.name, it.copy(leaving = true))
        }
        return true
    }

    /** Returns the runs that have an entry and announced in an answer that they are leaving. */
    public fun departures(): List<InstanceRun> = departures.filter { instances[it.name]?.run == it }

    /** Returns whether [instance] equals the state held and its entry is not missing, so that [put] changes nothing. */
    public fun isCurrent(instance: UpstreamInstance): Boolean {
        val current = if (instance.run in departures) instance.copy(leaving = true) else instance
        return instances[instance.name] == current && instance.name !in missingSince
    }

    /** Records that the entry of [name] disappeared. */
    public fun remove(
        name: UpstreamName,
        now: Moment,
    ) {
        val known = instances[name] ?: return
        if (known.leaving) {
            drop(name)
        } else {
            missingSince.putIfAbsent(name, now)
        }
    }

    /** Replaces all entries by [all]; instances that are not in it are treated as removed. */
    public fun replace(
        all: List<UpstreamInstance>,
        now: Moment,
    ) {
        val present = all.associateBy { it.name }
        instances.keys.filter { it !in present }.forEach { remove(it, now) }
        all.forEach(::put)
    }

    /**
     * Takes over the entries [copied] of a store that has come back from a copy, and returns the instances that it
     * leaves out.
     *
     * An entry may be older than what is known of its instance, which therefore holds unless the entry is of a later
     * run. An instance that is not known may have left since the copy was made, so it is left out until its entry is
     * written again. Instances without an entry in the copy are treated as removed.
     */
    public fun restore(
        copied: List<UpstreamInstance>,
        now: Moment,
    ): Set<UpstreamName> {
        val present = copied.associateBy { it.name }
        instances.keys.filter { it !in present }.forEach { remove(it, now) }
        copied.filter { instances[it.name]?.let { known -> isLaterRun(it, known) } ?: false }.forEach(::put)
        return present.keys - instances.keys
    }

    private fun isLaterRun(
        entry: UpstreamInstance,
        known: UpstreamInstance,
    ): Boolean {
        val startedAt = entry.startedAt ?: return false
        return known.startedAt?.let { startedAt > it } ?: true
    }

    /** Records that the store stopped answering; nothing expires until it answers again. */
    public fun onStoreLost() {
        storeUnavailable = true
    }

    /** Records that the store answers again. */
    public fun onStoreRegained(now: Moment) {
        storeUnavailable = false
        storeRegainedAt = now
    }

    /** Drops the instances whose grace has ended and returns their names. */
    public fun expire(now: Moment): List<UpstreamName> {
        if (storeUnavailable || missingSince.isEmpty()) return emptyList()
        val expired = missingSince.filterValues { now >= endOfGrace(it) }.keys.toList()
        expired.forEach(::drop)
        return expired
    }

    /** Records that the store never stopped answering others, so that entries had no cause to lapse. */
    public fun onStoreLossRefuted() {
        storeUnavailable = false
    }

    /** Returns the instances that are not leaving and so may receive requests. */
    public fun serving(): PersistentMap<UpstreamName, UpstreamInstance> =
        instances.filterValues { !it.leaving }.toPersistentMap()

    private fun endOfGrace(since: Moment): Moment {
        val regainedAt = storeRegainedAt
        val lapseEnd = since + lapseGrace
        return if (regainedAt == null) lapseEnd else maxOf(lapseEnd, regainedAt + regainGrace)
    }

    private fun drop(name: UpstreamName) {
        missingSince.remove(name)
        instances = instances.remove(name)
    }

    private companion object {
        val DEFAULT_LAPSE_GRACE = 1_200.milliseconds
        val DEFAULT_REGAIN_GRACE = 2_200.milliseconds

        /** Far more than the runs that can be leaving at a time before their entries are removed for good. */
        const val MAXIMUM_DEPARTURES = 4_096
    }
}
