package plantainturn.relay.request

import plantainturn.request.RequestIdentifier

/** Result of decoding a caller's request. */
public sealed interface DecodedRequest {
    /** The request is well formed. */
    public class Accepted(
        public val request: RelayRequest,
    ) : DecodedRequest

    /** The request is malformed; [identifier] is null if it could not be read. */
    public class Malformed(
        public val reason: String,
        public val identifier: RequestIdentifier?,
    ) : DecodedRequest
}
