package plantainturn.process.control.residence

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The thresholds and weights of a [ResidencePlanner].
 *
 * @property minimumResidence shortest time that a model stays resident, so that two models do not keep replacing each
 *   other
 * @property residencePerLoad the same minimum as a multiple of the model's load time from the weight store, as evicting
 *   the model wastes that load
 * @property overloadUtilisation utilisation of an engine beyond which another copy of one of its models pays off:
 *   bursts of two or three times the usual load are common
 * @property onTimeUtilisation utilisation of an engine up to which nearly all requests begin in time
 * @property relievableShare share of an engine's time below which another copy of a model relieves nothing
 * @property slowLoadThreshold load time beyond which a load is slow, longer than callers wait for a model
 * @property payback time within which a load must recover its cost; demand shifts after about this time
 * @property protectedWorth worth per second from which a model gets a second copy for protection
 * @property waitingRequestWorth worth per second that one waiting request counts for
 * @property hysteresisFactor factor by which the gain of a load must exceed the loss of the evicted model
 * @property idleModelShare worth of a model without demand, as a share of the average worth of all models
 * @property loadSecondCost worth that one second of loading costs
 * @property utilisationCost worth that a fully used engine costs when the engine for a load is chosen
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
