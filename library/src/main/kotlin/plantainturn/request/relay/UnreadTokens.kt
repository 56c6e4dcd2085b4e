package plantainturn.request.relay

import kotlinx.serialization.Serializable

/**
 * Prompt tokens that an instance has still to read, by the rank of their requests.
 *
 * @property byRank tokens for each rank that has any; rank 0 goes first
 */
@Serializable
public data class UnreadTokens(
    val byRank: Map<Int, Int> = emptyMap(),
) {
    /** Tokens of all ranks. */
    val total: Int
        get() = byRank.values.sum()

    /** Returns the tokens of ranks up to [rank], which are read before a new request of that rank. */
    public fun upTo(rank: Int): Int = byRank.entries.sumOf { (other, tokens) -> if (other <= rank) tokens else 0 }

    /** Returns this with [tokens] more at [rank]; negative for fewer. */
    public fun plus(
        rank: Int,
        tokens: Int,
    ): UnreadTokens {
        val sum = (byRank[rank] ?: 0) + tokens
        return UnreadTokens(if (sum > 0) byRank + (rank to sum) else byRank - rank)
    }

    /** Returns the sum of both. */
    public operator fun plus(other: UnreadTokens): UnreadTokens =
        other.byRank.entries.fold(this) { sum, (rank, tokens) -> sum.plus(rank, tokens) }
}
