package plantainturn.process.control.residence.internal

import plantainturn.version.configuration.ModelName

/** Why a model should come to a further engine. */
internal enum class ResidenceNeed {
    /** It is resident nowhere. */
    MISSING,

    /** Its engines have more to do than they can in time. */
    OVERLOADED,

    /** The loss of one engine would leave it resident nowhere. */
    UNPROTECTED,
    ;

    /** Returns the reason for the log. */
    fun reason(model: ModelName): String =
        when (this) {
            MISSING -> "$model is resident nowhere"
            OVERLOADED -> "$model is more than its engines bear"
            UNPROTECTED -> "$model has one copy only"
        }
}
