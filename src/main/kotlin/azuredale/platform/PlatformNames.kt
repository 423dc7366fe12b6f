package azuredale.platform

/** HTTP header names of the platform's protocol. */
internal object PlatformHeader {
    const val REQUEST_ID = "X-Azuredale-Request-Id"
    const val REMAINING_MILLISECONDS = "X-Azuredale-Deadline-Ms"
    const val PROMPT_PARTS = "X-Azuredale-Prefix-Hash"
    const val TOKEN_COUNT = "X-Azuredale-Token-Count"
    const val LENGTH_HINT = "X-Azuredale-Length-Hint"
    const val MODEL = "X-Azuredale-Model"
    const val RESPONSE_STAMP = "X-Azuredale-Response-Stamp"
    const val TEAM = "X-Azuredale-Tenant"
    const val EXPECTED_SERVER = "X-Azuredale-Expect-Instance"
    const val ANSWERING_SERVER = "X-Azuredale-Instance-Id"
    const val STORE_ERA = "Store-Era"
    const val SERVER_LIMIT = "Server-Limit"
    const val SERVER_LEAVING = "Server-Leaving"
    const val NOT_EXECUTED = "X-Azuredale-Not-Executed"
    const val LAST_EVENT = "Last-Event-Id"

    /** The request id with which a caller began the stream that it resumes. */
    const val RESUMED_REQUEST = "Resumes"
    const val AUTHORIZATION = "Authorization"
    const val RETRY_AFTER = "Retry-After"

    /** Scheme that precedes the API key in [AUTHORIZATION]. */
    const val KEY_SCHEME = "Token "

    /** Headers that only routers may send to backend servers; removed from caller requests. */
    val RESERVED: Set<String> =
        setOf(
            TEAM,
            EXPECTED_SERVER,
            "X-Azuredale-Expect-Version",
            "X-Azuredale-Pin-Ms",
            "X-Azuredale-Hold",
            "X-Azuredale-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
        ).mapTo(HashSet()) { it.lowercase() }
}

/** Paths of the platform's HTTP protocol. */
internal object PlatformPath {
    const val READY = "/azuredale/ready"
    const val ADDRESSES = "/azuredale/resolve"
    const val KEY = "/azuredale/kv-key"
    const val RANGE = "/azuredale/kv-range"
    const val WATCH = "/azuredale/kv-watch"
    const val TRANSACTION = "/azuredale/kv-txn"
    const val LEASE = "/azuredale/kv-lease"
    const val KEEP_LEASE = "/azuredale/kv-keep/"
    const val END_LEASE = "/azuredale/kv-lease-end/"
}

/** Keys in the platform's store. */
internal object StoreKey {
    const val CATALOG = "op/config"

    /** Common prefix of all keys that operators write. */
    const val OPERATORS = "op/"

    /** One key for each evacuated failure domain, whose name follows. */
    const val EVACUATIONS = "op/evacuate/"
    const val SERVERS = "servers/"
    const val ROUTERS = "azuredale/routers/"
    const val QUARANTINE = "azuredale/quarantine/"

    /** The latest era of the store in which everything that was lost before it counts as written again. */
    const val SETTLED_ERA = "azuredale/era"

    /** One key for each pool whose servers have had several software versions lately; its name follows. */
    const val VERSIONS = "azuredale/versions/"
}
