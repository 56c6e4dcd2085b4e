package plantainturn.request.relay

/** What a node knows of its own paths to the instances of a service. */
public enum class ReachState {
    /** An instance was heard, and none has failed since. */
    REACHED,

    /** Instances have failed and none was heard since, but too few for a conclusion. */
    DOUBTFUL,

    /** No instance that was tried is heard; whether other nodes hear them is not known yet. */
    PRESUMED_CUT_OFF,

    /** No instance that was tried is heard, while other nodes hear some. */
    CUT_OFF,

    /** No instance that was tried is heard, nor by other nodes. */
    UNHEARD_BY_ALL,
    ;

    /** Whether requests had better go by way of another node. */
    public val isCutOff: Boolean
        get() = this == PRESUMED_CUT_OFF || this == CUT_OFF
}
