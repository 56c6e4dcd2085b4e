package plantainturn.request.completion.internal

import plantainturn.connection.engine.PromptPrefix
import plantainturn.request.completion.CompletionRequest
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The configured properties of the model or adapter that a request asks for.
 *
 * @property baseModel the base model if the target is an adapter, null otherwise
 * @property firstTokenTarget the latency target for the first token
 * @property tokenTarget the latency target between tokens
 * @property prefixes the hashes of the prompt's prefixes
 */
internal class CompletionTarget(
    val baseModel: ModelName?,
    val firstTokenTarget: Duration,
    val tokenTarget: Duration,
    val prefixes: List<Long>,
) {
    companion object {
        /** Returns the target of [request], or null if [configuration] has no such model or adapter. */
        fun of(
            configuration: Configuration,
            request: CompletionRequest,
        ): CompletionTarget? {
            val adapter = configuration.adapters[request.target]
            val model = configuration.models[adapter?.baseModel ?: request.target] ?: return null
            return CompletionTarget(
                baseModel = adapter?.baseModel,
                firstTokenTarget = model.firstTokenMilliseconds.milliseconds,
                tokenTarget = model.tokenMilliseconds.milliseconds,
                prefixes = prefixesOf(request),
            )
        }

        private fun prefixesOf(request: CompletionRequest): List<Long> {
            val hashes = PromptPrefix.hashes(request.target, request.prompt)
            return if (hashes.size <= MAXIMUM_PREFIXES) hashes else hashes.take(MAXIMUM_PREFIXES)
        }

        private const val MAXIMUM_PREFIXES = 32
    }
}
