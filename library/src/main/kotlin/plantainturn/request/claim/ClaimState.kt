package plantainturn.request.claim

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.connection.log.RecordIdentifier
import plantainturn.version.configuration.TeamName

/**
 * The state of a claims stream at one offset.
 *
 * @property teams the keys of each team
 * @property released the most recently released claims, oldest first; a late request of such a claim is void
 */
public data class ClaimState(
    val teams: PersistentMap<TeamName, TeamWindow> = persistentMapOf(),
    val released: PersistentSet<RecordIdentifier> = persistentSetOf(),
) {
    /** Returns the window of [team]. */
    public fun window(team: TeamName): TeamWindow = teams[team] ?: EMPTY_WINDOW

    /** Returns the claim that holds [key], or null if it is not held. */
    public fun holder(key: ClaimKey): HeldKey? = window(key.team).held[ServiceKey(key.service, key.key)]

    /** Returns the settled [key], or null if it is not settled or was evicted. */
    public fun settled(key: ClaimKey): SettledKey? = window(key.team).settledKey(ServiceKey(key.service, key.key))

    internal fun with(
        team: TeamName,
        window: TeamWindow,
    ): ClaimState = copy(teams = teams.put(team, window))

    internal fun addReleased(claim: RecordIdentifier): ClaimState {
        val grown = released.add(claim)
        return copy(released = if (grown.size > RELEASED_LIMIT) grown.remove(grown.first()) else grown)
    }

    public companion object {
        /** The maximum number of released claims that are remembered. */
        public const val RELEASED_LIMIT: Int = 4_096

        private val EMPTY_WINDOW = TeamWindow()
    }
}
