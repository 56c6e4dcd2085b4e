package plantainturn.connection.engine

/** Takes the tokens of one attempt in the order in which they arrive, which may not be the order of the answer. */
public fun interface TokenReceiver {
    /** Takes [chunk] and returns whether the engine should go on. */
    public fun receive(chunk: TokenChunk): Boolean
}
