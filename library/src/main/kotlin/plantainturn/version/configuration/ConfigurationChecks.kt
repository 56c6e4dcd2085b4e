package plantainturn.version.configuration

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import plantainturn.version.configuration.internal.CrossChecks
import plantainturn.version.configuration.internal.FieldChecks
import plantainturn.version.document.DocumentFault
import plantainturn.version.document.FaultCollector
import plantainturn.version.document.ObjectChecker

/** Checks whole configurations and names every fault in one pass. The checks are pure. */
public object ConfigurationChecks {
    private const val ROOT = "$"

    /** Checks the configuration that [document] holds. Fields that have defaults may be absent. */
    public fun check(document: JsonObject): ConfigurationCheck {
        val faults = FaultCollector()
        val parts = FieldChecks(faults).run(ObjectChecker(ROOT, document, faults))
        CrossChecks(parts, faults).run()
        if (faults.faults.isNotEmpty()) return ConfigurationCheck.Faulty(faults.faults.toPersistentList())
        return decode(document)
    }

    private fun decode(document: JsonObject): ConfigurationCheck =
        try {
            ConfigurationCheck.Passed(ConfigurationJson.decode(document))
        } catch (exception: IllegalArgumentException) {
            ConfigurationCheck.Faulty(persistentListOf(DocumentFault(ROOT, exception.message.orEmpty())))
        }
}
