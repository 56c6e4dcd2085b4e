package plantainturn.request.relay

/**
 * One part of a prompt. Requests may share parts, and engines cache the parts that they have processed.
 *
 * @property identifier equal for equal parts
 */
public data class PromptPart(
    val identifier: String,
    val tokens: Int,
)
