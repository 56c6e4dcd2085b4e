package plantainturn.connection.http

/** Records whether a call began to write its request; as long as it did not, nothing can have reached the server. */
internal class SendEvidence {
    @Volatile
    var sendingBegan: Boolean = false
        private set

    fun sendingBegins() {
        sendingBegan = true
    }
}
