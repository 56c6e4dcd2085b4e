package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.json.JsonElement

/**
 * The rules by which the entries of a stream make a state.
 *
 * A fold is pure: the result depends on the arguments alone, never on a clock, a setting or this node, so that all
 * nodes that read the same records agree. An entry may come again, in another record and any time later; the fold
 * recognises that by what its state holds. A change of the rules needs a new [rule] number.
 *
 * @param S the state
 * @param V what the fold decides about one entry
 */
public interface StreamFold<S, V> {
    /** The number of these rules. */
    public val rule: Int

    /** The state before the first record. */
    public val initial: S

    /** Returns the state after the [entries] of the record at [offset], with what was decided about each. */
    public fun apply(
        state: S,
        offset: LogOffset,
        entries: PersistentList<JsonElement>,
    ): FoldResult<S, V>

    /** Returns the form of [state] that snapshots hold. */
    public fun encode(state: S): JsonElement

    /**
     * Returns the state that [element] holds.
     *
     * @throws IllegalArgumentException if it holds none
     */
    public fun decode(element: JsonElement): S
}
