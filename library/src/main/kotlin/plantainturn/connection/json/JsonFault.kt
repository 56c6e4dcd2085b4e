package plantainturn.connection.json

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException

/**
 * Describes faults in JSON from outside for the log.
 *
 * The messages of the JSON library quote the text found, which may be an access key. A description has only the
 * path and what was expected there.
 */
public object JsonFault {
    private const val UNKNOWN = "another form"

    /** The library states what it expected before the text found. */
    private val EXPECTED_TOKEN = Regex("""(?:^|\d: )Expected ([A-Za-z ]{1,60})""")
    private val EXPECTED_NUMBER = Regex("""(?:^|: )(?:Unexpected symbol|Numeric value|Failed to parse)""")
    private val OFFSET = Regex("""^Unexpected JSON token at offset (\d+)""")

    /** Members of the messages have names without digits, which keeps most texts that are no name out. */
    private val PATH = Regex("""(?:path:?|element:) (\$(?:\.[A-Za-z_]{1,40}|\[\d+])*)""")

    /** Returns the path and what was expected, as far as [exception] tells it. */
    public fun describe(exception: Throwable): String {
        val message = exception.message.orEmpty().substringBefore("\nJSON input")
        val path =
            PATH
                .findAll(message)
                .lastOrNull()
                ?.groupValues
                ?.get(1) ?: "$"
        val offset = OFFSET.find(message)?.let { " offset=${it.groupValues[1]}" }.orEmpty()
        return "path=$path$offset expected=${expected(exception, message)}"
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun expected(
        exception: Throwable,
        message: String,
    ): String =
        when {
            exception is MissingFieldException -> exception.missingFields.joinToString(",")
            EXPECTED_NUMBER.containsMatchIn(message) -> "a number"
            else ->
                EXPECTED_TOKEN
                    .find(message)
                    ?.groupValues
                    ?.get(1)
                    ?.trim() ?: UNKNOWN
        }
}
