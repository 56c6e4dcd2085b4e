package plantainturn.version.placement

/**
 * Decides which models and adapters should be resident where.
 *
 * A planner is deterministic: equal inputs, in the same order, give equal plans.
 */
public fun interface Planner {
    /** Returns the moves to begin now, given [input]. */
    public fun plan(input: PlanningInput): PlacementPlan
}
