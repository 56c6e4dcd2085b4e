package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentList
import plantainturn.version.document.DocumentFault

/** What the checks of a configuration found. */
public sealed interface ConfigurationCheck {
    /** The document is a configuration without fault. */
    public data class Passed(
        val configuration: Configuration,
    ) : ConfigurationCheck

    /** The document has these [faults], at least one. */
    public data class Faulty(
        val faults: PersistentList<DocumentFault>,
    ) : ConfigurationCheck
}
