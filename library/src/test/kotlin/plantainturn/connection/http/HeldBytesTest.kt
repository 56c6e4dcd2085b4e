package plantainturn.connection.http

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

class HeldBytesTest {
    private val givenUp = ArrayList<String>()
    private val held = HeldBytes(limit = 100)

    private inner class Answer(
        private val name: String,
    ) : HeldBytes.Holder {
        override fun giveUp(reason: String) {
            givenUp += name
        }
    }

    @Test
    fun `the largest answers are given up when all together hold too much`() {
        val small = Answer("small")
        val large = Answer("large")
        held.update(small, 30)
        held.update(large, 70)
        assertEquals(emptyList(), givenUp)
        held.update(small, 31)
        assertEquals(listOf("large"), givenUp)
        held.update(small, 100)
        assertEquals(listOf("large"), givenUp)
    }

    @Test
    fun `an answer that grows beyond the bound by itself is given up`() {
        held.update(Answer("endless"), 101)
        assertEquals(listOf("endless"), givenUp)
        held.update(Answer("next"), 100)
        assertEquals(listOf("endless"), givenUp)
    }

    @Test
    fun `an answer that is complete holds nothing any more`() {
        val complete = Answer("complete")
        repeat(10) {
            held.update(complete, 90)
            held.update(complete, 0)
        }
        held.update(Answer("other"), 100)
        assertEquals(emptyList(), givenUp)
    }
}
