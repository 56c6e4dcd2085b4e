package plantainturn.standins.internal

import okhttp3.Call
import okhttp3.Callback
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import plantainturn.connection.engine.Resident
import plantainturn.process.time.TimerService
import plantainturn.standins.EngineStandInSettings
import plantainturn.standins.WeightLoadAdmission
import plantainturn.standins.WeightLoadRequest
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Takes the time that a load takes, as the weight store tells or as the settings say. */
internal class WeightLoader(
    private val settings: EngineStandInSettings,
    private val timer: TimerService,
    private val client: OkHttpClient,
) {
    /** Calls [done] when the weights of [wanted] are there. Asks again while the weight store does not answer. */
    fun load(
        wanted: Resident,
        adapter: Boolean,
        done: () -> Unit,
    ) {
        val address = settings.weightStoreAddress
        if (address == null) {
            val duration = if (adapter) settings.adapterLoadMilliseconds else settings.modelLoadMilliseconds
            timer.schedule(duration.milliseconds, done)
            return
        }
        val body = WeightLoadRequest(wanted.name.value, wanted.weightsVersion, adapter)
        val text = StandInServer.JSON.encodeToString(WeightLoadRequest.serializer(), body)
        val request =
            Request
                .Builder()
                .url("$address/loads")
                .post(text.toRequestBody("application/json".toMediaType()))
                .build()
        val askAgain = { timer.schedule(RETRY_DELAY) { load(wanted, adapter, done) } }
        client.newCall(request).enqueue(
            object : Callback {
                override fun onFailure(
                    call: Call,
                    e: IOException,
                ) {
                    askAgain()
                }

                override fun onResponse(
                    call: Call,
                    response: Response,
                ) {
                    val admission = response.use(::admissionOf)
                    if (admission == null) {
                        askAgain()
                    } else {
                        timer.schedule(admission.totalMilliseconds.milliseconds, done)
                    }
                }
            },
        )
    }

    private fun admissionOf(response: Response): WeightLoadAdmission? {
        if (!response.isSuccessful) return null
        return StandInServer.JSON.decodeFromString(WeightLoadAdmission.serializer(), response.body.string())
    }

    private companion object {
        val RETRY_DELAY = 200.milliseconds
    }
}
