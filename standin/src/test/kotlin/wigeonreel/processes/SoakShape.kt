package wigeonreel.processes

/** Services, routes and work of the fleet that a run plays. */
internal object SoakShape {
    val services = listOf("front", "desk", "archive", "board")
    private val ward = Route("ward", "board", idempotent = true, open = true, timeoutMs = 700)
    private val index = Route("index", "archive", idempotent = true, open = true, timeoutMs = 2_000)
    private val ledger = Route("ledger", "desk", idempotent = true, open = true, timeoutMs = 2_500)
    val look = Route("look", "front", idempotent = true, open = false, timeoutMs = 5_000)
    val book = Route("book", "desk", idempotent = false, open = false, timeoutMs = 5_000)
    val upload = Route("upload", "archive", idempotent = false, open = false, timeoutMs = 4_000)
    val view = Route("view", "board", idempotent = true, open = false, timeoutMs = 6_000)
    val openView = Route("open-view", "board", idempotent = true, open = true, timeoutMs = 6_000)
    val openBook = Route("open-book", "desk", idempotent = false, open = true, timeoutMs = 5_000)

    /** Routes of the clients, with the weights of the platform's usual mix. */
    val clientRoutes = listOf(look to 4.0, book to 2.3, upload to 0.7, view to 1.5, openView to 1.0, openBook to 1.0)
    private val routes = clientRoutes.map { it.first } + listOf(ward, index, ledger)
    private val works =
        mapOf(
            look.name to Work(120.0, listOf(ledger)),
            book.name to Work(160.0, listOf(index)),
            upload.name to Work(140.0, emptyList()),
            view.name to Work(480.0, emptyList()),
            openView.name to Work(480.0, emptyList()),
            openBook.name to Work(160.0, listOf(index)),
            ledger.name to Work(15.0, listOf(index)),
            index.name to Work(15.0, listOf(ward, ward)),
            ward.name to Work(30.0, emptyList()),
        )

    fun work(route: String, factor: Double): Work = works.getValue(route).let { Work(it.workMs * factor, it.calls, it.responseBytes) }

    /** Configuration document as the operator writes it. */
    fun configuration(version: Int): String {
        val accounts =
            List(ACCOUNTS) { """{"name":"account$it","apiKeys":["key$it","spare$version"],"priority":1,"ratePerS":400,"burst":400}""" }
        return operatorDocument(version, routes, services, priority = version % 3, accounts)
    }

    /**
     * Operators' document with the given routes and services.
     *
     * @param priority priority of all routes.
     * @param accounts client accounts as JSON objects.
     */
    fun operatorDocument(
        version: Int,
        routes: List<Route>,
        services: List<String>,
        priority: Int,
        accounts: List<String>,
    ): String {
        val routeTexts =
            routes.map {
                val kind = if (it.idempotent) "idempotent" else "non_idempotent"
                """{"name":"${it.name}","host":"${Caller.HOST}","prefix":"/${it.name}/","kind":"$kind",""" +
                    """"timeoutS":${it.timeoutMs / 1_000.0},"targetLatencyS":1.5,"priority":$priority,""" +
                    """"service":"${it.service}","attempts":2,"public":${it.open}}"""
            }
        val serviceTexts = services.map { """{"name":"$it","healthPath":"/health"}""" }
        return """{"version":"${version.toString(16).padStart(8, '0')}","routes":[${routeTexts.joinToString()}],""" +
            """"services":[${serviceTexts.joinToString()}],"tenants":[${accounts.joinToString()}]}"""
    }

    const val ACCOUNTS = 4
}
