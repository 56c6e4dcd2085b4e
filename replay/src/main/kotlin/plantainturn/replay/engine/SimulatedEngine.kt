package plantainturn.replay.engine

import plantainturn.connection.engine.ResidentState
import plantainturn.process.time.TimerService
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Hears of what engines begin, for the measures. */
internal interface EngineObserver {
    /** Called when an engine begins a load, an unload or a role change. */
    fun moveBegan()

    /** Called when an engine begins a load without the memory for it. */
    fun overcommitted()
}

/** A model engine with the service times of an [EngineProfile]. It holds the truth that reports lag behind. */
internal class SimulatedEngine(
    val name: UpstreamName,
    val specification: UpstreamSpecification,
    private val profile: EngineProfile,
    private val timer: TimerService,
    private val store: WeightStore,
    private val observer: EngineObserver,
) {
    private class Held(
        val megabytes: Long,
        val baseModel: ModelName?,
        var state: ResidentState,
    ) {
        var active = 0
        var load: WeightLoad? = null
    }

    private val held = LinkedHashMap<ModelName, Held>()
    private val running = ArrayList<Attempt>()
    private val waiting = RequestPriority.entries.map { ArrayDeque<Attempt>() }
    private val stepBaseSeconds = profile.stepBase.toDouble(DurationUnit.SECONDS)
    private val sequenceSeconds = profile.sequenceTime.toDouble(DurationUnit.SECONDS) / specification.accelerators
    private val promptRate = profile.promptTokensPerSecond * specification.accelerators
    private var stepping = false

    var alive: Boolean = true
        private set
    var incarnation: Int = 0
        private set

    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.sumOf { it.size }

    fun isReady(name: ModelName): Boolean = alive && held[name]?.state == ResidentState.READY

    fun states(): Map<ModelName, ResidentState> = held.mapValues { it.value.state }

    fun usedMegabytes(): Long = held.values.sumOf { it.megabytes }

    /** Makes [name] resident at once, as it was before the replay began. */
    fun place(
        name: ModelName,
        megabytes: Long,
        baseModel: ModelName?,
    ) {
        held[name] = Held(megabytes, baseModel, ResidentState.READY)
    }

    /** Takes an attempt, or refuses it without running anything. */
    fun submit(attempt: Attempt): Boolean {
        if (!isReady(attempt.target)) return false
        held.getValue(attempt.target).active++
        waiting[attempt.priority.ordinal] += attempt
        step()
        return true
    }

    /** Ends an attempt that nobody waits for any more. */
    fun cancel(attempt: Attempt) {
        attempt.cancelled = true
        val removed = waiting[attempt.priority.ordinal].remove(attempt)
        if (removed) release(attempt)
    }

    fun load(
        name: ModelName,
        megabytes: Long,
        baseModel: ModelName?,
    ) {
        if (!alive || name in held) return
        if (baseModel != null && held[baseModel]?.state != ResidentState.READY) return
        observer.moveBegan()
        if (usedMegabytes() + megabytes > specification.weightCapacityMegabytes) observer.overcommitted()
        val entry = Held(megabytes, baseModel, ResidentState.LOADING)
        held[name] = entry
        val done = { if (held[name] === entry) entry.state = ResidentState.READY }
        if (baseModel == null) entry.load = store.loadModel(megabytes, done) else store.loadAdapter(done)
    }

    fun unload(name: ModelName) {
        val entry = held[name] ?: return
        if (!alive || entry.state == ResidentState.UNLOADING) return
        observer.moveBegan()
        entry.load?.let(store::cancel)
        entry.state = ResidentState.UNLOADING
        held.entries
            .filter { it.value.baseModel == name }
            .map { it.key }
            .forEach(::unload)
        dropIfIdle(name)
    }

    fun crash() {
        alive = false
        incarnation++
        held.values.forEach { entry -> entry.load?.let(store::cancel) }
        held.clear()
        val lost = running + waiting.flatten()
        running.clear()
        waiting.forEach { it.clear() }
        lost.filterNot { it.cancelled }.forEach { it.listener.broken(it, timer.now()) }
    }

    fun restart() {
        alive = true
    }

    private fun step() {
        if (stepping || !alive) return
        admit()
        if (running.isEmpty()) return
        stepping = true
        val chunk = computePrompt()
        val answering = running.count { it.promptRemaining == 0 }
        val duration = stepBaseSeconds + sequenceSeconds * answering + chunk / promptRate
        val current = incarnation
        timer.schedule(duration.seconds) { endStep(duration, current) }
    }

    private fun admit() {
        for (queue in waiting) {
            while (queue.isNotEmpty() && running.size < specification.concurrency) running += queue.removeFirst()
        }
    }

    private fun computePrompt(): Int {
        var budget = profile.chunkTokens
        for (attempt in running) {
            if (budget == 0) break
            val computed = minOf(budget, attempt.promptRemaining)
            attempt.promptRemaining -= computed
            budget -= computed
        }
        return profile.chunkTokens - budget
    }

    private fun endStep(
        duration: Double,
        ofIncarnation: Int,
    ) {
        stepping = false
        if (ofIncarnation == incarnation) {
            for (attempt in running) if (attempt.promptRemaining == 0 && !attempt.cancelled) generate(attempt, duration)
            val ended = running.filter { it.cancelled || it.answerRemaining == 0 }
            if (ended.isNotEmpty()) end(ended)
        }
        step()
    }

    private fun generate(
        attempt: Attempt,
        duration: Double,
    ) {
        attempt.generated++
        attempt.answerRemaining--
        if (attempt.generated == 1) {
            attempt.listener.firstToken(attempt, timer.now())
        } else if (duration > attempt.tokenTargetSeconds) {
            attempt.slowTokens++
        }
    }

    private fun end(attempts: List<Attempt>) {
        running.removeAll(attempts.toSet())
        attempts.forEach(::release)
        attempts.filterNot { it.cancelled }.forEach { it.listener.finished(it, timer.now()) }
    }

    private fun release(attempt: Attempt) {
        val entry = held[attempt.target] ?: return
        entry.active--
        dropIfIdle(attempt.target)
        entry.baseModel?.let(::dropIfIdle)
    }

    private fun dropIfIdle(name: ModelName) {
        val entry = held[name] ?: return
        if (entry.state != ResidentState.UNLOADING || entry.active > 0) return
        if (held.values.any { it.baseModel == name }) return
        held -= name
        entry.baseModel?.let(::dropIfIdle)
    }
}
