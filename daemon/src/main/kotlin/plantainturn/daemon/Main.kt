package plantainturn.daemon

/** Runs the command line. */
public fun main(arguments: Array<String>) {
    println(arguments.joinToString(" "))
}
