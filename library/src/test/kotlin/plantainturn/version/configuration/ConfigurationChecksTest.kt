package plantainturn.version.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationChecksTest {
    @Test
    fun `a whole configuration passes and keeps its form`() {
        val passed = assertIs<ConfigurationCheck.Passed>(check(WHOLE))
        assertEquals(passed, ConfigurationChecks.check(ConfigurationJson.encode(passed.configuration)))
        assertEquals(
            40_000,
            passed.configuration.models
                .getValue(ModelName("base"))
                .memoryMegabytes,
        )
    }

    @Test
    fun `the empty document is the empty configuration`() {
        assertEquals(ConfigurationCheck.Passed(Configuration.EMPTY), check("{}"))
    }

    @TestFactory
    fun `a fault is named with its path and unit`(): List<DynamicTest> =
        CASES.trim().lines().map { line ->
            val (change, path, problem) = line.split('|').map { it.trim() }
            DynamicTest.dynamicTest(line.trim()) { verify(change, path, problem) }
        }

    private fun verify(
        change: String,
        path: String,
        problem: String,
    ) {
        val document = MergePatch.apply(Json.parseToJsonElement(WHOLE), Json.parseToJsonElement(change)) as JsonObject
        val faults = assertIs<ConfigurationCheck.Faulty>(ConfigurationChecks.check(document)).faults
        assertContains(faults.associate { it.path to it.problem }[path].orEmpty(), problem, message = "$faults")
    }

    @Test
    fun `all faults are named in one pass`() {
        val document =
            """{"models":{"m":{"memoryMegabytes":-1,"x":1}},"teams":{"t":{"keySha256":1}},"adapters":{"a":{}},"y":0}"""
        val faults = assertIs<ConfigurationCheck.Faulty>(check(document)).faults
        val expected =
            listOf(
                "$.models.m.memoryMegabytes",
                "$.models.m.x",
                "$.adapters.a.baseModel",
                "$.adapters.a.memoryMegabytes",
                "$.teams.t.keySha256",
                "$.y",
            )
        assertEquals(expected, faults.map { it.path })
    }

    private fun check(document: String): ConfigurationCheck =
        ConfigurationChecks.check(Json.parseToJsonElement(document) as JsonObject)

    private companion object {
        const val CASES =
            """
        {"colour":1}                                              | $.colour | not a known field
        {"models":[]}                                             | $.models | must be an object
        {"models":{"a b":{"memoryMegabytes":1}}}                  | $.models.a b | the name must be
        {"models":{"m":{}}}                                       | $.models.m.memoryMegabytes | is missing
        {"models":{"m":{"memoryMegabytes":"1"}}}                  | $.models.m.memoryMegabytes | megabytes from 1 to
        {"models":{"m":{"memoryMegabytes":1.5}}}                  | $.models.m.memoryMegabytes | megabytes from 1 to
        {"models":{"m":{"memoryMegabytes":0}}}                    | $.models.m.memoryMegabytes | megabytes from 1 to
        {"models":{"m":{"memoryMegabytes":60001}}}                | $.models.m.memoryMegabytes | 60000 megabytes for weights
        {"models":{"m":{"memoryMegabytes":1,"size":2}}}           | $.models.m.size | not a known field
        {"models":{"m":{"memoryMegabytes":1,"tokenMilliseconds":0}}} | $.models.m.tokenMilliseconds | milliseconds
        {"models":{"m":{"memoryMegabytes":1,"weightsVersion":2}}} | $.models.m.weightsVersion | must be
        {"adapters":{"base":{"baseModel":"base","memoryMegabytes":1}}} | $.adapters.base | a model has the same name
        {"adapters":{"x":{"baseModel":"none","memoryMegabytes":1}}} | $.adapters.x.baseModel | no model "none"
        {"adapters":{"x":{"memoryMegabytes":1}}}                  | $.adapters.x.baseModel | is missing
        {"adapters":{"x":{"baseModel":"base","memoryMegabytes":20001}}} | $.adapters.x.memoryMegabytes | with its base
        {"upstreams":{"one":{"address":"http://localhost:1"}}}    | $.upstreams.one.address | IP number
        {"upstreams":{"one":{"address":"https://127.0.0.1:1"}}}   | $.upstreams.one.address | IP number
        {"upstreams":{"one":{"address":"http://127.0.0.1"}}}      | $.upstreams.one.address | IP number
        {"upstreams":{"one":{"address":"http://127.0.0.1:99999"}}} | $.upstreams.one.address | IP number
        {"upstreams":{"one":{"address":"http://127.0.0.1:1/x"}}}  | $.upstreams.one.address | IP number
        {"upstreams":{"one":{"address":"http://10.0.0.2:8000"}}}  | $.upstreams.shop.address | same address
        {"upstreams":{"one":{"kind":"gpu"}}}                      | $.upstreams.one.kind | "engine" or "service"
        {"upstreams":{"one":{"accelerators":0}}}                  | $.upstreams.one.accelerators | from 1 to
        {"upstreams":{"one":{"cacheReserveMegabytes":80001}}}     | $.upstreams.one.cacheReserveMegabytes | must not exceed
        {"upstreams":{"one":{"refusesOldFences":"yes"}}}          | $.upstreams.one.refusesOldFences | true or false
        {"upstreams":{"one":{"concurrency":0}}}                   | $.upstreams.one.concurrency | requests
        {"services":{"s":{"upstreams":[]}}}                       | $.services.s.upstreams | at least one
        {"services":{"s":{"upstreams":"shop"}}}                   | $.services.s.upstreams | list of texts
        {"services":{"s":{"upstreams":["none"]}}}                 | $.services.s.upstreams[0] | no upstream "none"
        {"services":{"s":{"upstreams":["shop","shop"]}}}          | $.services.s.upstreams[1] | named twice
        {"services":{"s":{"upstreams":["one"]}}}                  | $.services.s.upstreams[0] | not of kind "service"
        {"services":{"s":{"upstreams":["shop"],"idempotentMethods":["get"]}}} | $.services.s.idempotentMethods[0] | upper case
        {"services":{"s":{"upstreams":["shop"],"timeoutMilliseconds":-1}}} | $.services.s.timeoutMilliseconds | milliseconds
        {"teams":{"t":{"keySha256":"AB"}}}                        | $.teams.t.keySha256 | 64 lower-case
        {"teams":{"t":{"keySha256":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}}} | $.teams.t.keySha256 | same key
        {"teams":{"t":{"share":0}}}                               | $.teams.t.share | from 1 to
        {"weightStore":{"loadsPerSecond":0}}                      | $.weightStore.loadsPerSecond | loads per second
        {"weightStore":{"concurrentLoads":0}}                     | $.weightStore.concurrentLoads | loads
        {"objective":{"moveWeight":-1}}                           | $.objective.moveWeight | points per move
        {"objective":{"moveWeight":true}}                         | $.objective.moveWeight | points per move
            """

        const val WHOLE =
            """{
            "models": {"base": {"memoryMegabytes": 40000, "weightsVersion": "2"}},
            "adapters": {"kegs": {"baseModel": "base", "memoryMegabytes": 200}},
            "upstreams": {
              "one": {"address": "http://10.0.0.1:8000", "failureDomain": "Hakata", "kind": "engine",
                      "accelerators": 1, "memoryMegabytes": 80000, "cacheReserveMegabytes": 20000},
              "shop": {"address": "http://10.0.0.2:8000", "failureDomain": "Hakata", "kind": "service"}},
            "services": {"ledger": {"upstreams": ["shop"], "idempotentMethods": ["GET"], "timeoutMilliseconds": 5}},
            "teams": {
              "refunds": {"keySha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
              "t": {"keySha256": "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"}},
            "weightStore": {"loadsPerSecond": 2.0, "concurrentLoads": 3},
            "objective": {"moveWeight": 4}}"""
    }
}
