package plantainturn.version.route

/** What a client account's quota counts. */
public enum class QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,

    /** Each request counts as its prompt tokens and maximum output tokens. */
    TOKENS,
}
