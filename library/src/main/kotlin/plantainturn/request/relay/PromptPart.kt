package plantainturn.request.relay

/**
 * One part of a prompt, in order. Requests share parts; an engine keeps those that it has read.
 *
 * @property identifier equal for equal parts
 */
public data class PromptPart(
    val identifier: String,
    val tokens: Int,
)
