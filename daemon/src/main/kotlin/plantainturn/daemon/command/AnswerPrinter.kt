package plantainturn.daemon.command

/** Prints what a node answered: results to standard output, failures to standard error. */
internal object AnswerPrinter {
    /** Prints [answer] and returns the exit status. */
    fun print(answer: OperatorAnswer): Int =
        when (answer) {
            is OperatorAnswer.Unanswered -> fail(answer.reason)
            is OperatorAnswer.Answered -> printAnswered(answer)
        }

    /** Prints [reason] to standard error and returns the exit status. */
    fun fail(reason: String): Int {
        System.err.println("plantainturn: $reason")
        return ExitStatus.FAILURE
    }

    private fun printAnswered(answer: OperatorAnswer.Answered): Int {
        if (!answer.succeeded) return fail("HTTP ${answer.status}: ${answer.body}")
        println(answer.body)
        return ExitStatus.SUCCESS
    }
}
