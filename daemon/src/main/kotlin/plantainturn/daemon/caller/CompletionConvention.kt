package plantainturn.daemon.caller

/**
 * The two conventions in which callers ask for answers.
 *
 * @property path the HTTP path
 * @property answerObject the `object` field of a whole answer
 * @property chunkObject the `object` field of a streamed part
 * @property identifierPrefix the start of the answer's `id`
 */
internal enum class CompletionConvention(
    val path: String,
    val answerObject: String,
    val chunkObject: String,
    val identifierPrefix: String,
) {
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk", "chatcmpl-"),
    TEXT("/v1/completions", "text_completion", "text_completion", "cmpl-"),
}
