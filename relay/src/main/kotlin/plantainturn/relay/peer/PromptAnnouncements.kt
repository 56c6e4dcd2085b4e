package plantainturn.relay.peer

import plantainturn.request.relay.KeptPart

/** Distributes which parts of prompts engines have cached, each part to each node once. Old parts are dropped. */
internal class PromptAnnouncements {
    private val recent = ArrayDeque<KeptPart>()

    /** The number of parts ever added. */
    var totalAdded: Long = 0
        private set

    fun add(parts: List<KeptPart>) {
        recent += parts
        totalAdded += parts.size
        while (recent.size > CAPACITY) recent.removeFirst()
    }

    /** Returns the parts after the first [known] ones, as far as they are retained. */
    fun since(known: Long): List<KeptPart> {
        val missing = (totalAdded - known).coerceIn(0, recent.size.toLong()).toInt()
        return recent.subList(recent.size - missing, recent.size).toList()
    }

    private companion object {
        /** Covers several seconds of a busy deployment; a joining node receives at most this many parts. */
        const val CAPACITY = 512
    }
}
