package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * A base model.
 *
 * @property memoryMegabytes accelerator memory that its weights take
 * @property weightsVersion the version of the weights; another value is another set of weights to load
 * @property firstTokenMilliseconds the target for the time to the first token
 * @property tokenMilliseconds the target for the time between tokens
 */
@Serializable
public data class ModelSpecification(
    val memoryMegabytes: Long,
    val weightsVersion: String = "1",
    val firstTokenMilliseconds: Long = DEFAULT_FIRST_TOKEN_MILLISECONDS,
    val tokenMilliseconds: Long = DEFAULT_TOKEN_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_FIRST_TOKEN_MILLISECONDS = 780L
        const val DEFAULT_TOKEN_MILLISECONDS = 25L
    }
}
