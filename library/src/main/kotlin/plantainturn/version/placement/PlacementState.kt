package plantainturn.version.placement

/** The state of a model or adapter on an engine, as the memory ledger sees it. */
public enum class PlacementState {
    /** A load was ordered and has not been seen to end. */
    LOADING,

    /** It is resident and no order that may remove it is outstanding. */
    READY,

    /** An unload was ordered and has not been seen to end. */
    UNLOADING,

    /** An order's fate is unknown: it takes memory and does not count as resident. */
    IN_DOUBT,
}
