package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentList

/**
 * What a fold made of one record.
 *
 * @property state the state after the record
 * @property verdicts what was decided, in the order of the entries
 */
public data class FoldResult<S, V>(
    val state: S,
    val verdicts: PersistentList<V>,
)
