package plantainturn.relay.peer

import plantainturn.request.relay.KeptPart

/** Passes on which prompts engines keep, each piece of news to each node once. Old news is dropped. */
internal class PromptNews {
    private val kept = ArrayDeque<KeptPart>()

    /** How much news there has been. */
    var end: Long = 0
        private set

    fun add(news: List<KeptPart>) {
        kept += news
        end += news.size
        while (kept.size > CAPACITY) kept.removeFirst()
    }

    /** Returns the news after the first [known] pieces, as far as it is kept. */
    fun since(known: Long): List<KeptPart> {
        val missing = (end - known).coerceIn(0, kept.size.toLong()).toInt()
        return kept.subList(kept.size - missing, kept.size).toList()
    }

    private companion object {
        /** Several seconds of a busy deployment; a node that joins starts with this much. */
        const val CAPACITY = 512
    }
}
