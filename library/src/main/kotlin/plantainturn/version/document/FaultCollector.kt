package plantainturn.version.document

/** Collects the faults of a document. */
public class FaultCollector {
    private val found = mutableListOf<DocumentFault>()

    /** The faults found so far, in the order of detection. */
    public val faults: List<DocumentFault>
        get() = found

    /** Records that the value at [path] has the given [problem]. */
    public fun add(
        path: String,
        problem: String,
    ) {
        found += DocumentFault(path, problem)
    }
}
