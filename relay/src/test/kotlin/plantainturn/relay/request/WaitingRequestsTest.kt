package plantainturn.relay.request

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.ClientAccountName
import kotlin.random.Random
import kotlin.test.assertEquals

class WaitingRequestsTest {
    private val waiting = WaitingRequests()
    private val requests = ArrayList<Request>()
    private val tried = ArrayList<String>()
    private var places = Int.MAX_VALUE

    /** Guards against a change of the order for deployments without accounts. */
    @Property(seed = "211", tries = 300)
    fun `without accounts requests go by urgency and then in the order of waiting`(
        @ForAll seed: Long,
    ) {
        // All tries share this instance.
        waiting.stop()
        assertEquals(0, waiting.size)
        val random = Random(seed)
        val former = FormerWaitingRequests()
        repeat(20) {
            repeat(random.nextInt(6)) {
                val request = request(account = null, urgency = random.nextInt(3), model = random.anyModel())
                waiting.add(request)
                former.waiting += request
            }
            if (random.nextInt(4) == 0) former.waiting.randomOrNull(random)?.let { leave(it, former) }
            places = random.nextInt(8)
            tried.clear()
            val expected = former.order().map { it.name }
            waiting.retryAll()
            assertEquals(expected, tried)
            former.waiting.removeIf { it.isSent }
            assertEquals(former.waiting.size, waiting.size)
        }
    }

    /** Guards against a hot account whose older requests take all places of a model that was just loaded. */
    @Test
    fun `accounts are served in turn and within an account by urgency and age`() {
        add("hot", urgency = 1, count = 5)
        add("hot", urgency = 0, count = 1)
        add("small", urgency = 2, count = 2)
        places = 4
        assertEquals(listOf("hot-6", "small-7", "hot-1", "small-8"), sent())
    }

    /** Guards against state of an account that lasts as long as its name, and against lost requests. */
    @Test
    fun `an account that is removed meanwhile is served in turn under its old name`() {
        val removed = request("removed", urgency = 1)
        add("kept", urgency = 1, count = 3)
        waiting.add(removed)
        removed.accountName = null
        assertEquals(mapOf<String?, Int>("kept" to 3, "removed" to 1), countsByName())
        places = 2
        assertEquals(listOf("kept-2", "removed-1"), sent())
        assertEquals(mapOf<String?, Int>("kept" to 2), countsByName())
    }

    /** Guards against an account that is passed over as its requests for a model that is not loaded use its turns. */
    @Test
    fun `requests whose model is missing use no turn`() {
        repeat(3) { waiting.add(request("first", urgency = 1, model = OTHER)) }
        waiting.add(request("first", urgency = 1))
        add("second", urgency = 1, count = 2)
        places = 2
        assertEquals(listOf("first-4", "second-5"), sent())
    }

    private fun countsByName(): Map<String?, Int> = waiting.byAccount.mapKeys { it.key?.value }

    private fun leave(
        request: Request,
        former: FormerWaitingRequests,
    ) {
        former.waiting -= request
        waiting.remove(request, sent = false)
    }

    private fun sent(): List<String> {
        val before = requests.filter { it.isSent }.toSet()
        waiting.retryAll()
        return tried.filter { name -> requests.any { it.name == name && it.isSent && it !in before } }
    }

    private fun add(
        account: String,
        urgency: Int,
        count: Int,
    ) = repeat(count) { waiting.add(request(account, urgency)) }

    private fun request(
        account: String?,
        urgency: Int,
        model: ModelName = MODEL,
    ) = Request(account, urgency, model).also { requests += it }

    private fun Random.anyModel() = if (nextInt(3) == 0) OTHER else MODEL

    /** The requests as they were kept before there were accounts. */
    private class FormerWaitingRequests {
        val waiting = LinkedHashSet<Request>()

        fun order(): List<Request> = waiting.sortedBy { it.urgency }
    }

    private inner class Request(
        account: String?,
        override val urgency: Int,
        override val awaitedModel: ModelName,
    ) : WaitingRequest {
        val name = "$account-${requests.size + 1}"
        var isSent = false
        override var accountName: ClientAccountName? = account?.let(::ClientAccountName)

        override fun retryDispatch(): Boolean {
            tried += name
            if (places == 0 || awaitedModel != MODEL) return false
            places -= 1
            isSent = true
            waiting.remove(this, sent = true)
            return true
        }

        override fun onStopping() = waiting.remove(this, sent = false)
    }

    private companion object {
        val MODEL = ModelName("loaded")
        val OTHER = ModelName("missing")
    }
}
