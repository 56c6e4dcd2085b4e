package plantainturn.connection.log

/** What is known about a record after a [RecordAppender] did what it could. */
public sealed interface AppendFate {
    /** A copy of the record stands at [offset]; another may stand before or come after it. */
    public data class Stands(
        val identifier: RecordIdentifier,
        val offset: LogOffset,
    ) : AppendFate

    /** No copy of the record stands, and none will. */
    public data class Refused(
        val reason: String,
    ) : AppendFate

    /** A copy of the record may stand, or may yet come to stand. */
    public data class Unknown(
        val identifier: RecordIdentifier,
        val reason: String,
    ) : AppendFate
}
