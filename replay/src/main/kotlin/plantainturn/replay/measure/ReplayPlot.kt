package plantainturn.replay.measure

import plantainturn.replay.ReplayMinute
import java.util.Locale

/** Draws attainment and moves of each minute of a replay as SVG. */
internal class ReplayPlot(
    private val title: String,
    private val minutes: List<ReplayMinute>,
) {
    fun svg(): String =
        buildString {
            appendLine("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$HEIGHT\" $FONT>")
            appendLine("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>")
            appendLine("<text x=\"$LEFT\" y=\"18\">$title</text>")
            appendLine("<text x=\"$LEFT\" y=\"36\" fill=\"$BLUE\">attained share, 0 to 1</text>")
            appendLine("<text x=\"220\" y=\"36\" fill=\"$RED\">moves a minute, up to $mostMoves</text>")
            minutes.forEachIndexed { index, minute -> appendLine(bar(index, minute)) }
            appendLine("<polyline fill=\"none\" stroke=\"$BLUE\" stroke-width=\"1.5\" points=\"${points()}\"/>")
            appendLine("<path d=\"M$LEFT $TOP V$BOTTOM H$RIGHT\" fill=\"none\" stroke=\"black\"/>")
            appendLine("<text x=\"$LEFT\" y=\"${BOTTOM + LINE}\">minutes, 0 to ${minutes.size}</text>")
            appendLine("</svg>")
        }

    private val mostMoves = maxOf(1L, minutes.maxOfOrNull { it.moves } ?: 0L)

    private fun points(): String =
        minutes
            .withIndex()
            .filter { it.value.arrived > 0 }
            .joinToString(" ") { (index, minute) ->
                "${number(x(index + HALF))},${number(y(minute.attained.toDouble() / minute.arrived))}"
            }

    private fun bar(
        index: Int,
        minute: ReplayMinute,
    ): String {
        val top = y(minute.moves.toDouble() / mostMoves)
        val size = "width=\"${number(x(1.0) - x(0.0) - 1)}\" height=\"${number(BOTTOM - top)}\""
        return "<rect x=\"${number(x(index.toDouble()))}\" y=\"${number(top)}\" $size fill=\"$RED\" opacity=\"0.5\"/>"
    }

    private fun x(minute: Double): Double = LEFT + (RIGHT - LEFT) * minute / maxOf(1, minutes.size)

    private fun y(share: Double): Double = BOTTOM - (BOTTOM - TOP) * share

    private fun number(value: Double): String = "%.1f".format(Locale.ROOT, value)

    private companion object {
        const val WIDTH = 800
        const val HEIGHT = 300
        const val LEFT = 40
        const val RIGHT = 780
        const val TOP = 50
        const val BOTTOM = 260
        const val LINE = 20
        const val HALF = 0.5
        const val BLUE = "#1f5fa8"
        const val RED = "#b03030"
        const val FONT = "font-family=\"sans-serif\" font-size=\"13\""
    }
}
