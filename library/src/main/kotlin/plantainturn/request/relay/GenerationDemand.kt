package plantainturn.request.relay

import kotlinx.collections.immutable.PersistentList
import plantainturn.version.configuration.ModelName

/**
 * What a request needs of a model engine.
 *
 * @property model the base model
 * @property adapter the adapter of [model], null for the model itself
 * @property promptTokens tokens of the whole prompt
 * @property outputTokens maximum number of tokens to generate
 * @property parts the parts of the prompt in order; the last belongs to the request or its session alone
 */
public data class GenerationDemand(
    val model: ModelName,
    val adapter: ModelName?,
    val promptTokens: Int,
    val outputTokens: Int,
    val parts: PersistentList<PromptPart>,
) {
    /** Identifier of the last part that other requests may share, null if there is none. */
    public val lastSharedPart: String?
        get() = parts.getOrNull(parts.size - 2)?.identifier
}
