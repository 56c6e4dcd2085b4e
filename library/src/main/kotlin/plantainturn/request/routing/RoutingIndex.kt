package plantainturn.request.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.upstream.UpstreamView
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/**
 * Indexes the upstreams of a directory snapshot by the models and adapters that they hold.
 *
 * The index is immutable and excludes leaving upstreams. Its lists are sorted by upstream name, regardless of the order
 * of the updates.
 */
public class RoutingIndex private constructor(
    private val views: PersistentMap<UpstreamName, UpstreamView>,
    private val ready: PersistentMap<ModelName, List<UpstreamView>>,
    private val loading: PersistentMap<ModelName, Int>,
) {
    /** Returns the upstreams that hold [target] ready and take work. */
    public fun holders(target: ModelName): List<UpstreamView> = ready[target].orEmpty()

    /** Returns whether an upstream that takes work is loading [target]. */
    public fun isLoading(target: ModelName): Boolean = loading[target] != null

    /** Returns whether this index was built from [snapshot], compared by identity. */
    public fun isBuiltFrom(snapshot: PersistentMap<UpstreamName, UpstreamView>): Boolean = views === snapshot

    /** Returns the index of [snapshot]. The cost grows with the number of upstreams whose views have changed. */
    public fun updated(snapshot: PersistentMap<UpstreamName, UpstreamView>): RoutingIndex {
        if (views === snapshot) return this
        val after = snapshot.values.filter { views[it.name] !== it }
        val replaced = after.mapNotNull { views[it.name] }
        val removed = removedFrom(snapshot, added = after.size - replaced.size)
        val before = replaced + removed
        return RoutingIndex(
            views = snapshot,
            ready = ready.mutate { replaceReady(it, before, after) },
            loading = loading.mutate { replaceLoading(it, before, after) },
        )
    }

    private fun removedFrom(
        snapshot: PersistentMap<UpstreamName, UpstreamView>,
        added: Int,
    ): List<UpstreamView> {
        val removed = views.size + added - snapshot.size
        return if (removed == 0) emptyList() else views.values.filter { it.name !in snapshot }
    }

    private fun replaceReady(
        lists: MutableMap<ModelName, List<UpstreamView>>,
        before: List<UpstreamView>,
        after: List<UpstreamView>,
    ) {
        val changed = before.mapTo(HashSet()) { it.name }
        val added = HashMap<ModelName, MutableList<UpstreamView>>()
        after.forEach { view ->
            view.names(ResidentState.READY).forEach { added.getOrPut(it, ::mutableListOf).add(view) }
        }
        val affected = before.flatMapTo(HashSet()) { it.names(ResidentState.READY) } + added.keys
        for (name in affected) {
            val kept = lists[name].orEmpty().filter { it.name !in changed }
            val list = (kept + added[name].orEmpty()).sortedBy { it.name }
            if (list.isEmpty()) lists.remove(name) else lists[name] = list
        }
    }

    private fun replaceLoading(
        counts: MutableMap<ModelName, Int>,
        before: List<UpstreamView>,
        after: List<UpstreamView>,
    ) {
        before.forEach { view -> view.names(ResidentState.LOADING).forEach { counts.add(it, -1) } }
        after.forEach { view -> view.names(ResidentState.LOADING).forEach { counts.add(it, 1) } }
    }

    private fun MutableMap<ModelName, Int>.add(
        name: ModelName,
        change: Int,
    ) {
        val count = (this[name] ?: 0) + change
        if (count == 0) remove(name) else this[name] = count
    }

    private fun UpstreamView.names(state: ResidentState): Set<ModelName> {
        if (leaving) return emptySet()
        return report
            ?.residents
            .orEmpty()
            .filter { it.state == state }
            .mapTo(HashSet()) { it.name }
    }

    public companion object {
        /** The index without any upstreams. */
        public val EMPTY: RoutingIndex = RoutingIndex(persistentMapOf(), persistentMapOf(), persistentMapOf())

        /** Returns the index of [snapshot]. */
        public fun of(snapshot: PersistentMap<UpstreamName, UpstreamView>): RoutingIndex = EMPTY.updated(snapshot)
    }
}
