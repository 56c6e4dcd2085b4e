package plantainturn.version.document

/** Gathers the faults of a document. */
public class FaultCollector {
    private val found = mutableListOf<DocumentFault>()

    /** The faults so far, in the order in which they were found. */
    public val faults: List<DocumentFault>
        get() = found

    /** Notes that the value at [path] has [problem]. */
    public fun add(
        path: String,
        problem: String,
    ) {
        found += DocumentFault(path, problem)
    }
}
