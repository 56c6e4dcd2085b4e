package plantainturn.version.configuration.internal

import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.document.FaultCollector
import plantainturn.version.document.ObjectChecker

/** Checks the fields of each part of a configuration by themselves and gathers what the cross checks need. */
internal class FieldChecks(
    private val faults: FaultCollector,
) {
    private val gathered = GatheredParts()

    /** Checks all fields of the document under [root]. */
    fun run(root: ObjectChecker): GatheredParts {
        root.eachNamed("models") { name, fields -> model(name, fields) }
        root.eachNamed("adapters") { name, fields -> adapter(name, fields) }
        root.eachNamed("upstreams") { name, fields -> upstream(name, fields) }
        root.eachNamed("services") { name, fields -> service(name, fields) }
        root.eachNamed("teams") { name, fields -> team(name, fields) }
        root.nested("weightStore", check = ::weightStore)
        root.nested("objective", check = ::objective)
        root.reportUnknownFields()
        return gathered
    }

    private fun model(
        name: String,
        fields: ObjectChecker,
    ) {
        checkName(fields.path, name, MODEL_NAME, MODEL_NAME_FORM)
        val memory = fields.integer("memoryMegabytes", MEMORY, "megabytes", required = true)
        fields.text("weightsVersion", NAME, NAME_FORM)
        fields.integer("firstTokenMilliseconds", TIME, "milliseconds")
        fields.integer("tokenMilliseconds", TIME, "milliseconds")
        gathered.models[name] = GatheredParts.Model(fields.path, memory)
    }

    private fun adapter(
        name: String,
        fields: ObjectChecker,
    ) {
        checkName(fields.path, name, MODEL_NAME, MODEL_NAME_FORM)
        val base = fields.text("baseModel", MODEL_NAME, MODEL_NAME_FORM, required = true)
        val memory = fields.integer("memoryMegabytes", MEMORY, "megabytes", required = true)
        fields.text("weightsVersion", NAME, NAME_FORM)
        gathered.adapters[name] = GatheredParts.Adapter(fields.path, base, memory)
    }

    private fun upstream(
        name: String,
        fields: ObjectChecker,
    ) {
        checkName(fields.path, name, NAME, NAME_FORM)
        val address = fields.text("address", ANY, UpstreamAddress.FORM, required = true)
        if (address != null && !UpstreamAddress.isValid(address)) {
            fields.fault("address", "must be ${UpstreamAddress.FORM}, is \"$address\"")
        }
        fields.text("failureDomain", NAME, NAME_FORM, required = true)
        val kind = fields.text("kind", KIND, "\"engine\" or \"service\"", required = true)?.let(::kindOf)
        fields.integer("concurrency", 1L..MAXIMUM_COUNT, "requests")
        fields.boolean("refusesOldFences")
        val memory = upstreamMemory(fields, kind)
        gathered.upstreams[name] = GatheredParts.Upstream(fields.path, kind, address, memory)
    }

    private fun upstreamMemory(
        fields: ObjectChecker,
        kind: UpstreamKind?,
    ): Long? {
        val engine = kind == UpstreamKind.ENGINE
        val least = if (engine) 1L else 0L
        fields.integer("accelerators", least..MAXIMUM_ACCELERATORS, "accelerators", required = engine)
        val memory = fields.integer("memoryMegabytes", least..MEMORY.last, "megabytes", required = engine)
        val reserve = fields.integer("cacheReserveMegabytes", 0L..MEMORY.last, "megabytes")
        val capacity = (memory ?: return null) - (reserve ?: 0)
        if (capacity < 0) fields.fault("cacheReserveMegabytes", "must not exceed memoryMegabytes ($memory megabytes)")
        return capacity
    }

    private fun service(
        name: String,
        fields: ObjectChecker,
    ) {
        checkName(fields.path, name, NAME, NAME_FORM)
        val upstreams = fields.texts("upstreams", required = true) { _, _ -> }
        if (upstreams != null && upstreams.isEmpty()) fields.fault("upstreams", "must name at least one upstream")
        fields.texts("idempotentMethods", required = false) { path, method ->
            if (!METHOD.matches(method)) faults.add(path, "must be an HTTP method in upper case, is \"$method\"")
        }
        fields.integer("timeoutMilliseconds", TIME, "milliseconds")
        gathered.services[name] = GatheredParts.Service(fields.pathOf("upstreams"), upstreams.orEmpty())
    }

    private fun team(
        name: String,
        fields: ObjectChecker,
    ) {
        checkName(fields.path, name, NAME, NAME_FORM)
        val key = fields.text("keySha256", SHA256, "64 lower-case hexadecimal digits", required = true)
        fields.integer("share", 1L..MAXIMUM_SHARE, "shares")
        fields.integer("waitingLimit", 1L..MAXIMUM_COUNT, "requests")
        gathered.teams[name] = GatheredParts.Team(fields.pathOf("keySha256"), key)
    }

    private fun weightStore(fields: ObjectChecker) {
        fields.decimal("loadsPerSecond", MINIMUM_RATE..MAXIMUM_RATE, "loads per second")
        fields.integer("concurrentLoads", 1L..MAXIMUM_COUNT, "loads")
        fields.integer("concurrentAdapterLoads", 1L..MAXIMUM_COUNT, "loads")
    }

    private fun objective(fields: ObjectChecker) {
        fields.decimal("attainmentWeight", 0.0..MAXIMUM_WEIGHT, "points per request")
        fields.decimal("moveWeight", 0.0..MAXIMUM_WEIGHT, "points per move")
    }

    private fun checkName(
        path: String,
        name: String,
        pattern: Regex,
        form: String,
    ) {
        if (!pattern.matches(name)) faults.add(path, "the name must be $form")
    }

    private fun kindOf(text: String): UpstreamKind = if (text == "engine") UpstreamKind.ENGINE else UpstreamKind.SERVICE

    private companion object {
        val ANY = Regex(".*")
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
        const val NAME_FORM = "1 to 128 letters, digits, '.', '_' or '-', with a letter or digit first"
        val MODEL_NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
        const val MODEL_NAME_FORM = "1 to 128 letters, digits, '.', '_', ':', '/' or '-', with a letter or digit first"
        val KIND = Regex("engine|service")
        val METHOD = Regex("[A-Z]{1,20}")
        val SHA256 = Regex("[0-9a-f]{64}")
        val MEMORY = 1L..100_000_000L
        val TIME = 1L..86_400_000L
        const val MAXIMUM_ACCELERATORS = 1_024L
        const val MAXIMUM_COUNT = 1_000_000L
        const val MAXIMUM_SHARE = 10_000L
        const val MINIMUM_RATE = 0.001
        const val MAXIMUM_RATE = 10_000.0
        const val MAXIMUM_WEIGHT = 1_000_000.0
    }
}
