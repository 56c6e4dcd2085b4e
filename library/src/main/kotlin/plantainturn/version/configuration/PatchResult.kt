package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentList
import plantainturn.process.ResultCode
import plantainturn.version.document.DocumentFault

/** What an operator is told about a patch. */
public sealed interface PatchResult {
    /** The patch made [version], which is in force at this node. */
    public data class Accepted(
        val version: ConfigurationVersion,
    ) : PatchResult

    /**
     * The patch is not accepted and never will be.
     *
     * @property code why
     * @property faults each fault of the patched configuration
     * @property current the version in force when the patch was judged
     */
    public data class Refused(
        val code: ResultCode,
        val faults: PersistentList<DocumentFault>,
        val current: ConfigurationVersion,
    ) : PatchResult

    /** The patch may have been accepted, or may yet be. Sending the same patch again tells. */
    public data class Unknown(
        val identifier: PatchIdentifier,
        val reason: String,
    ) : PatchResult
}
