package plantainturn.relay.request

import plantainturn.request.relay.DispatchDecision
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** The next step for a request. */
internal sealed interface PlacementStep {
    /** Whether no instance can take the request. */
    val hasNoCandidate: Boolean
        get() = false

    /**
     * The dispatch decision among [candidates] instances.
     *
     * @property unlimited number of candidates that may take requests now and don't limit them
     */
    data class Decided(
        val decision: DispatchDecision,
        val candidates: Int,
        val unlimited: Int,
    ) : PlacementStep {
        override val hasNoCandidate: Boolean
            get() = decision is DispatchDecision.NoCandidate
    }

    /** Engines hold the model but not the adapter; [candidates] could load it, the best first. */
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
