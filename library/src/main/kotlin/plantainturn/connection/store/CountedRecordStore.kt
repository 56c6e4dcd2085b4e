package plantainturn.connection.store

/**
 * A [RecordStore] whose calls are counted by kind.
 *
 * @param onCall called before each call to the store, further pages of a reading included
 */
public class CountedRecordStore private constructor(
    private val store: RecordStore,
    kind: StoreCallKind,
    private val onCall: (TopicName, StoreCallKind) -> Unit,
) : RecordStore by store.observed({ topic -> onCall(topic, kind) }) {
    public constructor(store: RecordStore, onCall: (TopicName, StoreCallKind) -> Unit) :
        this(store, StoreCallKind.OTHER, onCall)

    override fun forKind(kind: StoreCallKind): RecordStore = CountedRecordStore(store, kind, onCall)
}
