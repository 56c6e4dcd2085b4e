package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a team whose callers share the platform with others. */
@Serializable
@JvmInline
public value class TeamName(
    public val value: String,
) : Comparable<TeamName> {
    override fun compareTo(other: TeamName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
