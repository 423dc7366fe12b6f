package azuredale.blackboard

/** Lock ranks of the blackboard's tables; a thread must acquire locks in ascending rank. */
public enum class LockRank {
    DOCUMENT,
    MEMBERS,
    USED_TICKETS,
    REQUESTS,
    LOCAL_QUEUE,
    ALLOTTER_DEMAND,
    GRANTS,
    SERVED_COUNTERS,
    SERVERS,
    REPORTS,
}
