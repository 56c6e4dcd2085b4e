package plantainturn.version.configuration.internal

import plantainturn.version.configuration.ConfigurationFault

/** Gathers the faults of a document. */
internal class FaultCollector {
    private val found = mutableListOf<ConfigurationFault>()

    /** The faults so far, in the order in which they were found. */
    val faults: List<ConfigurationFault>
        get() = found

    /** Notes that the value at [path] has [problem]. */
    fun add(
        path: String,
        problem: String,
    ) {
        found += ConfigurationFault(path, problem)
    }
}
