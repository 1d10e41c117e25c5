package wigeonreel.store

/**
 * Latest era of the store that a daemon knows, from the store's answers and from its peers.
 *
 * After a restore, only the writers of lost rows can write them again. Not thread-safe.
 */
class StoreEras {
    private val restoreListeners = mutableListOf<() -> Unit>()

    /** Latest known era, or null before the first one is known. */
    var latest: Long? = null
        private set

    /** Calls [action] after each restore of the store. */
    fun onRestore(action: () -> Unit) {
        restoreListeners += action
    }

    /** Handles an [era] that the store or a peer announced. Earlier eras are ignored, since an answer may be late. */
    fun observe(era: Long) {
        val known = latest
        if (known != null && era <= known) return
        latest = era
        if (known != null) restoreListeners.forEach { it() }
    }
}
