package plantainturn.daemon.settings

/**
 * One thing that is wrong with a settings file.
 *
 * @property path JSON path of the value, such as `$.callers.port`
 * @property problem what is wrong, with the unit and range of what is expected
 */
public data class SettingsFault(
    val path: String,
    val problem: String,
) {
    override fun toString(): String = "$path: $problem"
}
