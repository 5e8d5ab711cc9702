/*
 * The two modelled deployments: hosts, services, batch work, and the interference between them.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.Resources

/** A kind of batch work. [need] is the real size of a task. Its declared size differs from it by a random factor. */
public data class BatchKind(
    val name: String,
    val profile: String,
    val need: Resources,
    val shortestRunMillis: Long,
    val longestRunMillis: Long,
    /** Slowdown of the service per share of the host's cores, at half load of the service. */
    val serviceSlowdown: Double,
    /** Slowdown of other batch work per share of the host's cores. */
    val batchSlowdown: Double,
)

/** A deployment whose hosts are shared by a service and batch work. */
public data class Deployment(
    val name: String,
    /** Names of the failure domains. */
    val failureDomains: List<String>,
    /** Capacity of a host. */
    val host: Resources,
    /** Part of [host] that is reserved for the upstreams. */
    val reserve: Resources,
    /** Operation of the quick requests. */
    val quickOperation: String,
    /** Median service time of a quick request on a host without tasks. */
    val medianMillis: Double,
    /** Objective of the profile for the 99th percentile of quick requests. */
    val objectiveMillis: Long,
    /** Long batch work that arrives steadily. */
    val steady: BatchKind,
    /** Batch work that arrives in waves. */
    val noisy: BatchKind,
    /** Standing work, one task for each host. */
    val standing: BatchKind,
) {
    /** Capacity of a host for tasks. */
    val usable: Resources
        get() = host - reserve

    public companion object {
        /** Hosts of each deployment, as in the design. */
        public const val HOSTS: Int = 11

        /** Request slots of the upstream on a host, as in the design. */
        public const val SLOTS: Int = 8

        /** Hosts in a rack, as in the design. */
        public const val HOSTS_PER_RACK: Int = 3
    }
}

/** The deployments that can be selected on the command line. */
public enum class KnownDeployment(
    public val deployment: Deployment,
) {
    SFAX(
        Deployment(
            name = "sfax",
            failureDomains = listOf("medina", "port", "sakiet"),
            host = Resources(milliCores = 32_000, memoryMegabytes = 125_000),
            reserve = Resources(milliCores = 8_000, memoryMegabytes = 16_000),
            quickOperation = "fit-preview",
            medianMillis = 8.0,
            objectiveMillis = 40,
            steady =
                BatchKind(
                    name = "belt-pattern-render",
                    profile = "batch",
                    need = Resources(milliCores = 3_000, memoryMegabytes = 10_000),
                    shortestRunMillis = 120_000,
                    longestRunMillis = 600_000,
                    serviceSlowdown = 0.4,
                    batchSlowdown = 0.1,
                ),
            noisy =
                BatchKind(
                    name = "texture-bake",
                    profile = "batch",
                    need = Resources(milliCores = 4_000, memoryMegabytes = 6_000),
                    shortestRunMillis = 60_000,
                    longestRunMillis = 90_000,
                    serviceSlowdown = 6.0,
                    batchSlowdown = 0.3,
                ),
            standing =
                BatchKind(
                    name = "pouch-stock-watch",
                    profile = "standing",
                    need = Resources(milliCores = 500, memoryMegabytes = 1_000),
                    shortestRunMillis = Long.MAX_VALUE / 2,
                    longestRunMillis = Long.MAX_VALUE / 2,
                    serviceSlowdown = 0.05,
                    batchSlowdown = 0.0,
                ),
        ),
    ),
    ECUADOR(
        Deployment(
            name = "ecuador",
            failureDomains = listOf("quito-centre", "ibarra", "latacunga"),
            host = Resources(milliCores = 16_000, memoryMegabytes = 60_000),
            reserve = Resources(milliCores = 4_000, memoryMegabytes = 8_000),
            quickOperation = "deposit-confirmation",
            medianMillis = 6.0,
            objectiveMillis = 30,
            steady =
                BatchKind(
                    name = "full-custody-audit",
                    profile = "batch",
                    need = Resources(milliCores = 2_000, memoryMegabytes = 7_000),
                    shortestRunMillis = 300_000,
                    longestRunMillis = 900_000,
                    serviceSlowdown = 0.6,
                    batchSlowdown = 0.1,
                ),
            noisy =
                BatchKind(
                    name = "image-index",
                    profile = "batch",
                    need = Resources(milliCores = 3_000, memoryMegabytes = 4_000),
                    shortestRunMillis = 60_000,
                    longestRunMillis = 90_000,
                    serviceSlowdown = 4.0,
                    batchSlowdown = 0.3,
                ),
            standing =
                BatchKind(
                    name = "opening-date-watch",
                    profile = "standing",
                    need = Resources(milliCores = 300, memoryMegabytes = 1_000),
                    shortestRunMillis = Long.MAX_VALUE / 2,
                    longestRunMillis = Long.MAX_VALUE / 2,
                    serviceSlowdown = 0.05,
                    batchSlowdown = 0.0,
                ),
        ),
    ),
}

/** Load and events of a run. */
public enum class Scenario {
    /** The load of quick requests varies, and noisy tasks arrive in waves. */
    NOISY_WAVES,

    /** More batch work than capacity. A failure domain is out of service in the second third of the run. */
    FAILURE_DOMAIN,
}
