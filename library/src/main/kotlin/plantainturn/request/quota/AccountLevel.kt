package plantainturn.request.quota

/**
 * The state of an account's bucket at the desk.
 *
 * @property units the units left, negative if more was admitted than there was
 * @property bound whether nodes have to ask for what they admit
 */
public data class AccountLevel(
    val units: Double,
    val bound: Boolean,
)
