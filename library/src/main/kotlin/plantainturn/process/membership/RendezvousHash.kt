package plantainturn.process.membership

/** Gives each key its nodes such that few keys move when a node comes or goes, and all nodes agree without talking. */
internal object RendezvousHash {
    private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val FIRST_MIX = -0x40a7b892e31b1a47L
    private const val SECOND_MIX = -0x6b2fb644ecceee15L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val THIRD_SHIFT = 31

    /** Returns the [count] of [nodes] that are responsible for [key]. */
    fun nodesOf(
        key: String,
        nodes: List<String>,
        count: Int,
    ): List<String> {
        if (count >= nodes.size) return nodes
        return nodes
            .map { it to weight(key, it) }
            .sortedByDescending { it.second }
            .take(count)
            .map { it.first }
    }

    private fun weight(
        key: String,
        node: String,
    ): Long = spread("$key $node".fold(FNV_OFFSET_BASIS) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME })

    private fun spread(hash: Long): Long {
        var mixed = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_MIX
        mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_MIX
        return mixed xor (mixed ushr THIRD_SHIFT)
    }
}
