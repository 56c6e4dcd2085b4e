package plantainturn.daemon

import sun.misc.Signal

/** Handles SIGHUP, which ends the process while nothing does. */
internal object HangUpSignal {
    private var handler: (() -> Unit)? = null
    private var isPending = false

    /** Keeps signals until [handle] is called. */
    fun keep() {
        Signal.handle(Signal("HUP")) { onSignal() }
    }

    /** Calls [handler] at each signal, and now if one was kept. */
    @Synchronized
    fun handle(handler: () -> Unit) {
        this.handler = handler
        keep()
        if (isPending) handler()
        isPending = false
    }

    @Synchronized
    private fun onSignal() {
        val current = handler
        if (current == null) isPending = true else current()
    }
}
