package plantainturn.connection.store

/** Hears what a [TopicFollower] reads. */
public interface TopicListener {
    /** The topic's newest [records] replace all that was heard before. */
    public fun onWhole(records: List<KeyedRecord>)

    /**
     * Whether [record], the next one, changes anything.
     *
     * Writers repeat their records to show that they live. One that changes nothing is neither given to [onRecord] nor
     * kept for peers.
     */
    public fun isNews(record: KeyedRecord): Boolean = true

    /** [record] follows those that were heard before. */
    public fun onRecord(record: KeyedRecord)

    /** The store stopped answering. */
    public fun onLost() {}

    /** The store answers again; called before the records of that answer are given. */
    public fun onRegained() {}
}
