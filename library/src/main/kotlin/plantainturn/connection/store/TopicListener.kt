package plantainturn.connection.store

/** Hears what a [TopicFollower] reads. */
public interface TopicListener {
    /** The topic's newest [records] replace all that was heard before. */
    public fun onWhole(records: List<KeyedRecord>)

    /** [record] follows those that were heard before. */
    public fun onRecord(record: KeyedRecord)

    /** The store stopped answering. */
    public fun onLost() {}

    /** The store answers again; called before the records of that answer are given. */
    public fun onRegained() {}
}
