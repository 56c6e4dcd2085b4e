package plantainturn.process.control.residence

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How a [ResidencePlanner] weighs.
 *
 * @property minimumResidence how long a model stays at least, so that two models don't take turns
 * @property residencePerLoad the same in times of its load from the weight store, which would be lost
 * @property overloadUtilisation part of an engine's time that its models may be wanted for before a further copy of one
 *   pays: bursts of two or three times the usual are common
 * @property onTimeUtilisation part of an engine's time up to which nearly all requests begin in time
 * @property relievableShare part of an engine's time below which a model's further copy relieves nothing
 * @property slowLoadThreshold longer than callers wait for a model to be there
 * @property payback the time in which a load must bring what it costs; demand moves after about this
 * @property protectedWorth worth a second from which on a model gets a second copy in place of a silent one
 * @property waitingRequestWorth worth a second that one waiting request counts for
 * @property hysteresisFactor how much more than a wanted model a missing one must be wanted to take its place
 * @property idleModelShare what a model that nobody asks for counts, as part of the average worth of all models
 * @property loadSecondCost worth that one second of loading costs, in the choice of the engine
 * @property utilisationCost worth that a fully used engine costs, in the choice of the engine
 */
public data class ResidenceSettings(
    val minimumResidence: Duration = 2.seconds,
    val residencePerLoad: Double = 1.2,
    val overloadUtilisation: Double = 0.4,
    val onTimeUtilisation: Double = 0.25,
    val relievableShare: Double = 0.1,
    val slowLoadThreshold: Duration = 2.5.seconds,
    val payback: Duration = 10.seconds,
    val protectedWorth: Double = 1.0,
    val waitingRequestWorth: Double = 0.15,
    val hysteresisFactor: Double = 2.0,
    val idleModelShare: Double = 0.3,
    val loadSecondCost: Double = 0.5,
    val utilisationCost: Double = 3.0,
)
