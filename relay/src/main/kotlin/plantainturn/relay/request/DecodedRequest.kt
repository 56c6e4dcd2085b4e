package plantainturn.relay.request

import plantainturn.request.RequestIdentifier

/** What a dialect made of a caller's request. */
public sealed interface DecodedRequest {
    /** It is well formed. */
    public class Accepted(
        public val request: RelayRequest,
    ) : DecodedRequest

    /** It is not; [identifier] if it could be read all the same. */
    public class Malformed(
        public val reason: String,
        public val identifier: RequestIdentifier?,
    ) : DecodedRequest
}
