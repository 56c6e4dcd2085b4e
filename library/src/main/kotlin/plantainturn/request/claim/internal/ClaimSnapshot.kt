package plantainturn.request.claim.internal

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import plantainturn.connection.log.RecordIdentifier
import plantainturn.request.claim.ClaimState
import plantainturn.request.claim.HeldKey
import plantainturn.request.claim.ServiceKey
import plantainturn.request.claim.SettledKey
import plantainturn.request.claim.TeamWindow
import plantainturn.version.configuration.TeamName

/** The serialized form of a [ClaimState] in snapshots. Lists preserve the order of the maps and sets of the state. */
@Serializable
internal class ClaimSnapshot(
    private val teams: List<Team>,
    private val released: List<RecordIdentifier>,
) {
    fun toState(): ClaimState =
        ClaimState(teams.associate { it.name to it.toWindow() }.toPersistentMap(), released.toPersistentSet())

    @Serializable
    class Team(
        val name: TeamName,
        private val held: List<Held>,
        private val settled: List<Settled>,
        private val settledTimed: List<Settled>,
        private val withBody: List<ServiceKey>,
        private val bodyCharacters: Long,
        private val forgottenUntil: Long,
    ) {
        fun toWindow(): TeamWindow =
            TeamWindow(
                held = held.associate { it.key to it.value }.toPersistentMap(),
                settled = settled.associate { it.key to it.value }.toPersistentMap(),
                settledTimed = settledTimed.associate { it.key to it.value }.toPersistentMap(),
                withBody = withBody.toPersistentSet(),
                bodyCharacters = bodyCharacters,
                forgottenUntil = forgottenUntil,
            )
    }

    @Serializable
    class Held(
        val key: ServiceKey,
        val value: HeldKey,
    )

    @Serializable
    class Settled(
        val key: ServiceKey,
        val value: SettledKey,
    )

    companion object {
        fun of(state: ClaimState): ClaimSnapshot =
            ClaimSnapshot(state.teams.map { teamOf(it.key, it.value) }, state.released.toList())

        private fun teamOf(
            name: TeamName,
            window: TeamWindow,
        ): Team =
            Team(
                name = name,
                held = window.held.map { Held(it.key, it.value) },
                settled = window.settled.map { Settled(it.key, it.value) },
                settledTimed = window.settledTimed.map { Settled(it.key, it.value) },
                withBody = window.withBody.toList(),
                bodyCharacters = window.bodyCharacters,
                forgottenUntil = window.forgottenUntil,
            )
    }
}
