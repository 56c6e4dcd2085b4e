package plantainturn.relay.request

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.junit.jupiter.api.Test
import plantainturn.request.relay.PaceEstimate
import plantainturn.request.relay.PaceReason
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.ClientAccountName
import java.io.ByteArrayOutputStream
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RelayMetricsTest {
    /** Guards against series of instances that have left, of which a long run sees very many. */
    @Test
    fun `only present instances have figures of their pace`() {
        val registry = PrometheusRegistry()
        val present = hashMapOf(UpstreamName("first") to estimate(2.5))
        RelayMetrics(registry).gaugePaces { present }

        val before = scrape(registry)
        assertTrue("plantainturn_relay_instance_pace{figure=\"stated\",instance=\"first\"} 2.5" in before, before)
        assertTrue("plantainturn_relay_instance_pace{figure=\"in_use\",instance=\"first\"} 0.05" in before, before)
        assertTrue(
            "plantainturn_relay_instance_pace_reason{instance=\"first\",reason=\"stated\"} 1.0" in before,
            before,
        )

        present.clear()
        present[UpstreamName("second")] = estimate(1.0)
        assertFalse("instance=\"first\"" in scrape(registry))
    }

    /** Guards against series of accounts whose requests no longer wait, and against an account named "null". */
    @Test
    fun `waiting requests are counted by account while any wait`() {
        val registry = PrometheusRegistry()
        val counts = linkedMapOf<ClientAccountName?, Int>(ClientAccountName("small") to 2, null to 3)
        RelayMetrics(registry).gaugeWaiting { counts }

        val before = scrape(registry)
        assertTrue("plantainturn_relay_waiting_requests{account=\"small\"} 2.0" in before, before)
        assertTrue("plantainturn_relay_waiting_requests{account=\"\"} 3.0" in before, before)

        counts.clear()
        assertFalse("plantainturn_relay_waiting_requests{" in scrape(registry))
    }

    private fun estimate(stated: Double) = PaceEstimate(stated, 0.02, 1.0, 0.0, PaceReason.STATED)

    private fun scrape(registry: PrometheusRegistry): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter(true).write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }
}
