package wigeonreel.replay

/** Mechanism of the request path that a replay can leave out, to show what it is worth. */
internal enum class Mechanism(
    val optionName: String,
) {
    /** Sheds whole requests at the entry point. */
    ENTRY_THROTTLE("throttle"),

    /** Sheds requests at the server whose calls are refused. */
    CALL_FEEDBACK("feedback"),

    /** Places by the service times that guards report. */
    SERVICE_TIMES("service-times"),

    /** Tries other guards after one refused for lack of slots. */
    OTHER_GUARDS("other-guards"),
}
