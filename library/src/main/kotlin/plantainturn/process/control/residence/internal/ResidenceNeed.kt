package plantainturn.process.control.residence.internal

import plantainturn.version.configuration.ModelName

/** The reason to load a model on another engine. */
internal enum class ResidenceNeed {
    /** No engine holds the model. */
    MISSING,

    /** The engines that hold the model cannot serve their requests in time. */
    OVERLOADED,

    /** The loss of one engine would leave no copy of the model. */
    UNPROTECTED,
    ;

    /** Returns the reason as a text for the log. */
    fun reason(model: ModelName): String =
        when (this) {
            MISSING -> "$model is not resident on any engine"
            OVERLOADED -> "$model overloads its engines"
            UNPROTECTED -> "$model has only one copy"
        }
}
