package plantainturn.daemon.settings

import kotlinx.collections.immutable.PersistentList
import plantainturn.version.document.DocumentFault

/** What reading a settings file gave. */
public sealed interface SettingsResult {
    /** The settings passed every check. */
    public data class Valid(
        val settings: NodeSettings,
    ) : SettingsResult

    /** The settings can't be used; [faults] names everything that is wrong. */
    public data class Invalid(
        val faults: PersistentList<DocumentFault>,
    ) : SettingsResult
}
