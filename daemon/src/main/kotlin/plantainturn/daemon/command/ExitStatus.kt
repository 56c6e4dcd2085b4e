package plantainturn.daemon.command

/** The exit statuses of the command line. */
internal object ExitStatus {
    const val SUCCESS = 0
    const val FAILURE = 1
    const val USAGE = 2
}
