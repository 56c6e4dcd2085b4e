package plantainturn.process.control.residence

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.ServedModel
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ResidencePlannerTest {
    private val planner = ResidencePlanner()

    @Test
    fun `nothing moves while every model is resident and no engine is overloaded`() {
        val input = input(engine("one", "a", "b"), engine("two", "c", "d"), pressure = mapOf("a" to busy(5.0, 0.3)))

        assertEquals(emptyList(), planner.plan(input))
    }

    @Test
    fun `the model with the most demand is loaded first after a crash`() {
        val crashed = engine("one", disk = setOf("a", "b"))
        val input =
            input(crashed, engine("two", "c", "d"), pressure = mapOf("b" to busy(5.0, 0.3), "a" to busy(0.5, 0.1)))

        val move = planner.plan(input).single()

        assertEquals(load("b"), move.action)
        assertEquals(UpstreamName("one"), move.engine)
        assertEquals(false, move.fromStore)
    }

    @Test
    fun `rare models requested at the same time get one copy each before any gets two`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two"),
                engine("three"),
                pressure = mapOf("a" to busy(9.0, 0.2), "c" to waiting(1), "d" to waiting(2)),
            )

        assertEquals(setOf(load("c"), load("d")), planner.plan(input).map { it.action }.toSet())
    }

    @Test
    fun `a missing model with far more demand replaces the model with the least demand`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "c", "d"),
                pressure =
                    mapOf(
                        "a" to busy(3.0, 0.3),
                        "b" to busy(2.0, 0.2),
                        "c" to busy(1.5, 0.2),
                        "e" to waiting(12),
                    ),
            )

        val move = planner.plan(input).single()

        assertEquals(ResidenceAction(ResidenceAction.Kind.UNLOAD, ModelName("d")), move.action)
        assertEquals(ModelName("e"), move.wanted)
    }

    @Test
    fun `a model without demand keeps its only copy while no other model is missing`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "c", "d"),
                pressure = mapOf("a" to busy(9.0, 0.2)),
            )

        assertEquals(emptyList(), planner.plan(input), "demand may shift to b, c or d")
    }

    @Test
    fun `a model that overloads one engine gets a second copy in place of a model without demand`() {
        val input =
            input(engine("one", "a", "b"), engine("two", "c", "d"), pressure = mapOf("a" to busy(20.0, 1.8)))

        val move = planner.plan(input).single()

        assertEquals(UpstreamName("two"), move.engine)
        assertEquals(ModelName("a"), move.wanted)
    }

    @Test
    fun `models that overload an engine together are spread over idle engines`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "c", "d"),
                engine("three", "e", "f"),
                pressure = mapOf("a" to busy(9.0, 0.45), "b" to busy(9.0, 0.4)),
                models = "abcdef",
            )

        val move = planner.plan(input).single()

        assertTrue(move.engine != UpstreamName("one"), "no single model overloads its engine")
        assertTrue(move.wanted in setOf(ModelName("a"), ModelName("b")))
    }

    @Test
    fun `a copy in high demand is not evicted to relieve a slightly overloaded engine`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "a", "c"),
                pressure = mapOf("a" to busy(9.0, 0.9), "b" to busy(2.0, 0.1), "c" to busy(2.0, 0.1)),
            )

        assertEquals(emptyList(), planner.plan(input))
    }

    @Test
    fun `a model that a request waits for replaces a model without demand`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "c", "d"),
                pressure = mapOf("a" to busy(9.0, 0.2), "e" to RARE),
            )

        val move = planner.plan(input).single()

        assertEquals(ModelName("e"), move.wanted)
        assertTrue(move.action.model != ModelName("a"))
    }

    @Test
    fun `slow loads of rare models leave most engines available for shifting demand`() {
        val engines = listOf("one", "two", "three", "four").map { engine(it) }
        val input =
            input(
                *engines.toTypedArray(),
                pressure = mapOf("a" to busy(9.0, 0.2), "b" to RARE, "c" to RARE, "d" to RARE),
            )

        val moves = planner.plan(input)

        assertEquals(load("a"), moves.first().action)
        assertEquals(2, moves.size, "the model in demand and one rare model: $moves")
    }

    @Test
    fun `evictions for loads from the weight store count against its load limit`() {
        val input =
            input(
                engine("one", "a", "b"),
                engine("two", "c", "d"),
                engine("three", "f", "g"),
                pressure = mapOf("h" to busy(9.0, 0.2), "i" to busy(8.0, 0.2), "e" to busy(7.0, 0.2)),
                models = "abcdefghi",
                storeLoads = 2,
            )

        assertEquals(2, planner.plan(input).size)
    }

    @Test
    fun `a model in demand gets a second copy in free memory`() {
        val input =
            input(engine("one", "a", "b"), engine("two", "c"), pressure = mapOf("a" to busy(5.0, 0.3)), models = "abc")

        assertEquals(load("a"), planner.plan(input).single().action)
    }

    @Test
    fun `no load begins beyond the load limit of the weight store`() {
        val input =
            input(engine("one"), engine("two"), engine("three"), pressure = mapOf("a" to waiting(1)), storeLoads = 1)

        assertEquals(1, planner.plan(input).count { it.fromStore })
    }

    @Test
    fun `a model that has just become resident stays`() {
        val young =
            engine("one", "a", "b").copy(residentSince = mapOf(ModelName("a") to NOW, ModelName("b") to NOW))
        val input = input(young, pressure = mapOf("e" to waiting(12)))

        assertTrue(planner.plan(input).isEmpty())
    }

    @Test
    fun `a small model is not evicted for a large one that would not fit in its place`() {
        val input =
            input(
                engine("one", "a", "b", "c").copy(committedMegabytes = 145.0),
                pressure = mapOf("a" to busy(3.0, 0.2), "b" to busy(3.0, 0.2), "e" to waiting(12)),
                sizes = mapOf("a" to 65.0, "b" to 65.0, "c" to 15.0),
            )

        val move = planner.plan(input).singleOrNull()

        assertTrue(move == null || move.action.model != ModelName("c") || move.furtherVictims.isNotEmpty(), "$move")
    }

    @Test
    fun `the victim that makes room goes before one with a smaller loss that does not`() {
        val input =
            input(
                engine("one", "a", "b", "c").copy(committedMegabytes = 145.0),
                pressure = mapOf("a" to busy(3.0, 0.2), "e" to waiting(12)),
                sizes = mapOf("a" to 65.0, "b" to 65.0, "c" to 15.0, "e" to 60.0),
            )

        val move = planner.plan(input).single()

        assertEquals(ResidenceAction(ResidenceAction.Kind.UNLOAD, ModelName("b")), move.action)
        assertTrue(move.furtherVictims.isEmpty())
    }

    @Test
    fun `several small models make way for a large one that no engine holds`() {
        val small = mapOf("a" to 36.0, "b" to 36.0, "c" to 36.0, "d" to 36.0)
        val input =
            input(
                engine("one", "a", "b", "c", "d").copy(committedMegabytes = 144.0),
                pressure = mapOf("a" to busy(3.0, 0.2), "b" to busy(2.0, 0.2), "e" to waiting(12)),
                sizes = small,
            )

        val move = planner.plan(input).single()

        assertEquals(ModelName("e"), move.wanted)
        assertEquals(setOf(ModelName("c"), ModelName("d")), setOf(move.action.model) + move.furtherVictims)
    }

    private companion object {
        val NOW = Moment.ORIGIN + 100.seconds

        /** The demand of a rare model: one request some time ago and one that waits. */
        val RARE = ModelPressure(worthPerSecond = 0.12, waiting = 1)

        fun busy(
            worth: Double,
            shares: Double,
        ) = ModelPressure(worth, shares)

        fun waiting(count: Int) = ModelPressure(worthPerSecond = count * 0.3, waiting = count)

        fun load(model: String) = ResidenceAction(ResidenceAction.Kind.LOAD, ModelName(model))

        fun engine(
            name: String,
            vararg models: String,
            disk: Set<String> = emptySet(),
        ) = EngineSnapshot(
            name = UpstreamName(name),
            residents = models.map(::ModelName).toPersistentSet(),
            loading = null,
            unloading = persistentSetOf(),
            committedMegabytes = models.size * 70.0,
            acceptsOrders = true,
            hostCopies = persistentSetOf(),
            diskCopies = disk.map(::ModelName).toPersistentSet(),
            residentSince = emptyMap(),
        )

        /** Returns an input whose engines have room for two models each; each letter of [models] names a model. */
        fun input(
            vararg engines: EngineSnapshot,
            pressure: Map<String, ModelPressure>,
            models: String = "abcde",
            storeLoads: Int = 5,
            sizes: Map<String, Double> = emptyMap(),
        ): ResidenceInput {
            val held = engines.flatMap { it.residents }.toSet()
            val named = models.map { ModelName(it.toString()) }.filter { it in held || it.value in pressure }
            return ResidenceInput(
                fleet =
                    EngineFleet(
                        concurrency = 4,
                        cacheTokens = 1_000,
                        weightMegabytes = 150.0,
                        adapterSlots = 2,
                        storeLoadsPerSecond = 1.0,
                        models =
                            named.fold(persistentMapOf()) { all, model ->
                                val size = sizes[model.value] ?: 70.0
                                val served =
                                    ServedModel(model, size, 8.seconds, 600.milliseconds, 1_500.milliseconds, 0, 1.0)
                                all.put(model, served)
                            },
                    ),
                engines = engines.toList(),
                pressure = pressure.mapKeys { ModelName(it.key) },
                storeLoadsLeft = storeLoads,
                now = NOW,
            )
        }
    }
}
