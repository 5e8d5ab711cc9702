/*
 * The two deployments as the model sees them: hosts, services, batch work, and how they slow each other.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.Resources

/** A kind of batch work. Sizes are what a task really needs; what it declares is off by a random factor. */
public data class BatchKind(
    val name: String,
    val profile: String,
    val need: Resources,
    val shortestRunMillis: Long,
    val longestRunMillis: Long,
    /** Slowdown of the service per share of the host's cores, at half load of the service. */
    val slowsService: Double,
    /** Slowdown of other batch work per share of the host's cores. */
    val slowsBatch: Double,
)

/** One deployment. */
public data class Deployment(
    val name: String,
    /** Names of the failure domains. */
    val failureDomains: List<String>,
    /** What a host holds. */
    val host: Resources,
    /** Part of [host] that is kept for the upstreams. */
    val reserve: Resources,
    /** The quick request. */
    val quick: String,
    /** Median time of a quick request without neighbours, in milliseconds. */
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
    /** What a host has for tasks. */
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

/** The deployments that can be chosen on the command line. */
public enum class KnownDeployment(
    public val deployment: Deployment,
) {
    SFAX(
        Deployment(
            name = "sfax",
            failureDomains = listOf("medina", "port", "sakiet"),
            host = Resources(milliCores = 32_000, memoryMegabytes = 125_000),
            reserve = Resources(milliCores = 8_000, memoryMegabytes = 16_000),
            quick = "fit-preview",
            medianMillis = 8.0,
            objectiveMillis = 40,
            steady =
                BatchKind(
                    name = "belt-pattern-render",
                    profile = "batch",
                    need = Resources(milliCores = 3_000, memoryMegabytes = 10_000),
                    shortestRunMillis = 120_000,
                    longestRunMillis = 600_000,
                    slowsService = 0.4,
                    slowsBatch = 0.1,
                ),
            noisy =
                BatchKind(
                    name = "texture-bake",
                    profile = "batch",
                    need = Resources(milliCores = 4_000, memoryMegabytes = 6_000),
                    shortestRunMillis = 60_000,
                    longestRunMillis = 90_000,
                    slowsService = 6.0,
                    slowsBatch = 0.3,
                ),
            standing =
                BatchKind(
                    name = "pouch-stock-watch",
                    profile = "standing",
                    need = Resources(milliCores = 500, memoryMegabytes = 1_000),
                    shortestRunMillis = Long.MAX_VALUE / 2,
                    longestRunMillis = Long.MAX_VALUE / 2,
                    slowsService = 0.05,
                    slowsBatch = 0.0,
                ),
        ),
    ),
    ECUADOR(
        Deployment(
            name = "ecuador",
            failureDomains = listOf("quito-centre", "ibarra", "latacunga"),
            host = Resources(milliCores = 16_000, memoryMegabytes = 60_000),
            reserve = Resources(milliCores = 4_000, memoryMegabytes = 8_000),
            quick = "deposit-confirmation",
            medianMillis = 6.0,
            objectiveMillis = 30,
            steady =
                BatchKind(
                    name = "full-custody-audit",
                    profile = "batch",
                    need = Resources(milliCores = 2_000, memoryMegabytes = 7_000),
                    shortestRunMillis = 300_000,
                    longestRunMillis = 900_000,
                    slowsService = 0.6,
                    slowsBatch = 0.1,
                ),
            noisy =
                BatchKind(
                    name = "image-index",
                    profile = "batch",
                    need = Resources(milliCores = 3_000, memoryMegabytes = 4_000),
                    shortestRunMillis = 60_000,
                    longestRunMillis = 90_000,
                    slowsService = 4.0,
                    slowsBatch = 0.3,
                ),
            standing =
                BatchKind(
                    name = "opening-date-watch",
                    profile = "standing",
                    need = Resources(milliCores = 300, memoryMegabytes = 1_000),
                    shortestRunMillis = Long.MAX_VALUE / 2,
                    longestRunMillis = Long.MAX_VALUE / 2,
                    slowsService = 0.05,
                    slowsBatch = 0.0,
                ),
        ),
    ),
}

/** What happens during a run. */
public enum class Scenario {
    /** Load shifts, and noisy tasks arrive in waves. */
    NOISY_WAVES,

    /** More batch work than the hosts hold; a failure domain leaves after a third and returns after two thirds. */
    FAILURE_DOMAIN,
}
