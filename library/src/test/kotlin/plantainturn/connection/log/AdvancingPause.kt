package plantainturn.connection.log

import plantainturn.process.time.VirtualTimerService
import kotlin.time.Duration

/** A pause that moves a virtual clock instead of waiting. */
class AdvancingPause(
    private val timer: VirtualTimerService,
) : Pause {
    /** Called at each pause, to change the world meanwhile. */
    var onPause: () -> Unit = {}

    override fun pause(duration: Duration) {
        onPause()
        timer.advance(duration)
    }
}
