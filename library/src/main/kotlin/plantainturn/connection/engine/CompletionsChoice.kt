package plantainturn.connection.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The text of one event of an engine's answer.
 *
 * @property finishReason `stop` or `length` in the last event, null in the others
 */
@Serializable
public data class CompletionsChoice(
    val index: Int = 0,
    val text: String = "",
    @SerialName("finish_reason")
    val finishReason: String? = null,
)
