package plantainturn.relay.peer

import plantainturn.request.relay.KeptPart

/** Passes on which prompts engines keep, each piece of parts to each node once. Old parts is dropped. */
internal class PromptAnnouncements {
    private val recent = ArrayDeque<KeptPart>()

    /** How much parts there has been. */
    var totalAdded: Long = 0
        private set

    fun add(parts: List<KeptPart>) {
        recent += parts
        totalAdded += parts.size
        while (recent.size > CAPACITY) recent.removeFirst()
    }

    /** Returns the parts after the first [known] pieces, as far as it is recent. */
    fun since(known: Long): List<KeptPart> {
        val missing = (totalAdded - known).coerceIn(0, recent.size.toLong()).toInt()
        return recent.subList(recent.size - missing, recent.size).toList()
    }

    private companion object {
        /** Several seconds of a busy deployment; a node that joins starts with this much. */
        const val CAPACITY = 512
    }
}
