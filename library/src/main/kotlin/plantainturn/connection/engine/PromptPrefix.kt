package plantainturn.connection.engine

import plantainturn.version.configuration.ModelName

/** Names the prefixes of prompts that engines cache, so that cache events can be matched with requests. */
public object PromptPrefix {
    /** Characters of a prompt that an engine caches as one block. */
    public const val BLOCK_CHARACTERS: Int = 64

    private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /**
     * Returns the hash of each prefix of [prompt] that consists of whole blocks, the shortest first.
     *
     * A hash covers the model too, since caches are not shared between models.
     */
    public fun hashes(
        model: ModelName,
        prompt: String,
    ): List<Long> {
        var hash = model.value.fold(FNV_OFFSET_BASIS, ::mix)
        return (0 until prompt.length / BLOCK_CHARACTERS).map { block ->
            val from = block * BLOCK_CHARACTERS
            hash = prompt.substring(from, from + BLOCK_CHARACTERS).fold(hash, ::mix)
            hash
        }
    }

    private fun mix(
        hash: Long,
        character: Char,
    ): Long = (hash xor character.code.toLong()) * FNV_PRIME
}
