package plantainturn.connection.http

import okhttp3.Call
import okhttp3.EventListener

/** Records whether a call began to write its request; as long as it did not, nothing can have reached the server. */
internal class SendEvidence : EventListener() {
    @Volatile
    var sendingBegan: Boolean = false
        private set

    override fun requestHeadersStart(call: Call) {
        sendingBegan = true
    }
}
