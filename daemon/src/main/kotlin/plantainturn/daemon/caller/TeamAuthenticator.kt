package plantainturn.daemon.caller

import io.javalin.http.Context
import plantainturn.daemon.http.BearerToken
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.TeamName

/** Finds the team of a caller by the key that it sends as a bearer token. */
internal object TeamAuthenticator {
    private val EVERYBODY = TeamName("everybody")

    /** Returns the caller's team, or null if the key names none. Without any configured team, keys are not needed. */
    fun authenticate(
        context: Context,
        configuration: Configuration,
    ): TeamName? {
        if (configuration.teams.isEmpty()) return EVERYBODY
        val token = BearerToken.of(context) ?: return null
        return configuration.teams.entries
            .firstOrNull { (_, team) -> token.matchesSha256(team.keySha256) }
            ?.key
    }
}
