package plantainturn.connection.store

/** Hears what a [TopicFollower] reads. */
public interface TopicListener {
    /** The topic's newest [records] replace all that was heard before. */
    public fun onWhole(records: List<KeyedRecord>)

    /**
     * The store has come back from a copy, in which [records] are the newest of the topic.
     *
     * What was heard before may be newer than these. Writers repeat what was lost, but a topic's own writer has to do
     * so itself. The store counts as regained, although it may not have been noticed to be lost. Unless overridden, the
     * records replace all that was heard before, which suits those that tell their order themselves.
     */
    public fun onRestored(records: List<KeyedRecord>): Unit = onWhole(records)

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

    /**
     * The store has not stopped answering, contrary to the last [onLost]: it refused this node and answered others
     * meanwhile. Called in place of [onRegained], and unless overridden does the same.
     */
    public fun onLossRefuted(): Unit = onRegained()
}
