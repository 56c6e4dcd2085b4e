package plantainturn.request.service.internal

import plantainturn.connection.service.HttpField
import plantainturn.connection.service.ServiceResult
import plantainturn.request.claim.ClaimOutcome
import java.util.Base64

/** The header field that tells the caller that the body was too large to be stored in the key's record. */
internal const val BODY_OMITTED_FIELD = "Plantainturn-Body-Omitted"

/** Returns the record of [answer] for its key. A body of more than [bodyLimit] bytes is omitted. */
internal fun recordOf(
    answer: ServiceResult.Answered,
    bodyLimit: Int,
): ClaimOutcome.Answered {
    val truncated = answer.body.size > bodyLimit
    val body = if (truncated) ByteArray(0) else answer.body
    return ClaimOutcome.Answered(
        status = answer.status,
        headers = answer.headers,
        bodyBase64 = Base64.getEncoder().encodeToString(body),
        bodyTruncated = truncated,
    )
}

/** Returns the answer stored in [record]. */
internal fun answerOf(record: ClaimOutcome.Answered): ServiceResult.Answered {
    val omitted = HttpField(BODY_OMITTED_FIELD, "true")
    return ServiceResult.Answered(
        status = record.status,
        headers = if (record.bodyTruncated) record.headers.add(omitted) else record.headers,
        body = Base64.getDecoder().decode(record.bodyBase64),
    )
}
