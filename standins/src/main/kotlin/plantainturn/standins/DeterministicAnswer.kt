package plantainturn.standins

import plantainturn.version.configuration.ModelName

/**
 * The answer that every engine stand-in gives to [prompt] for [target].
 *
 * Each token depends on the target, the prompt and the token's position only, so that an answer can be checked whole
 * wherever its parts were generated.
 */
public class DeterministicAnswer(
    target: ModelName,
    prompt: String,
) {
    private val seed = prompt.fold(target.value.fold(FNV_OFFSET_BASIS, ::mix), ::mix)

    /** Returns the text of the token at [position]. */
    public fun token(position: Int): String {
        val hash = mix(mix(seed, position.toChar()), (position ushr Char.SIZE_BITS).toChar())
        return " " + (hash ushr DROPPED_BITS).toString(RADIX)
    }

    /** Returns the text of the tokens from [from], inclusive, to [to], exclusive. */
    public fun text(
        from: Int,
        to: Int,
    ): String = (from until to).joinToString("", transform = ::token)

    private companion object {
        const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L
        const val DROPPED_BITS = 40
        const val RADIX = 36

        fun mix(
            hash: Long,
            character: Char,
        ): Long = (hash xor character.code.toLong()) * FNV_PRIME
    }
}
