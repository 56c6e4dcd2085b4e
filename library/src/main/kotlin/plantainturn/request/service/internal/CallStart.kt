package plantainturn.request.service.internal

import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamView

/** What came of choosing an upstream for a call. */
internal sealed interface CallStart {
    /** The call goes to [view] under [permit]. */
    class Started(
        val view: UpstreamView,
        val permit: SendPermit,
    ) : CallStart

    /** No attempt is made now. */
    class Refused(
        val end: DispatchEnd.NotRun,
    ) : CallStart
}
