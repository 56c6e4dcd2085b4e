package plantainturn.relay.request

import plantainturn.request.relay.DispatchDecision
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** What is to be done next for a request. */
internal sealed interface PlacementStep {
    /** Whether no instance was found that could take the request. */
    val hasNoCandidate: Boolean
        get() = false

    /** There were [candidates] instances to choose from. */
    data class Decided(
        val decision: DispatchDecision,
        val candidates: Int,
    ) : PlacementStep {
        override val hasNoCandidate: Boolean
            get() = decision is DispatchDecision.NoCandidate
    }

    /** Engines hold the model but not the adapter; [candidates] could take it, the best first. */
    data class NeedsAdapter(
        val model: ModelName,
        val adapter: ModelName,
        val candidates: List<UpstreamName>,
    ) : PlacementStep

    /** No engine holds the model. */
    data class NeedsModel(
        val model: ModelName,
    ) : PlacementStep {
        override val hasNoCandidate: Boolean
            get() = true
    }
}
