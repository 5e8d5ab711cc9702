/*
 * Identifiers shared by all modules. Each is a value class, so that the compiler rejects, for example, a task where a
 * host is expected.
 */
package org.greengagepass.core

import kotlinx.serialization.Serializable

/** Identifies a batch or standing task from submission to end, across attempts. */
@JvmInline
@Serializable
public value class TaskId(
    public val value: String,
)

/** Identifies one request of a caller. Answers are matched to requests by it. */
@JvmInline
@Serializable
public value class RequestId(
    public val value: String,
)

/** Identifies a host, which has one worker of the platform, one agent and the upstreams next to it. */
@JvmInline
@Serializable
public value class HostId(
    public val value: String,
)

/** Identifies a process from its start to its end; a restarted process has a new, higher one. */
@JvmInline
@Serializable
public value class Incarnation(
    public val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)
}

/** Name of a failure domain, as operators specify it. */
@JvmInline
@Serializable
public value class FailureDomainName(
    public val value: String,
)

/** Name of a rack within a failure domain. */
@JvmInline
@Serializable
public value class RackName(
    public val value: String,
)

/** Name of a team that submits work and has a quota. */
@JvmInline
@Serializable
public value class TeamName(
    public val value: String,
)

/** Name of a profile. */
@JvmInline
@Serializable
public value class ProfileName(
    public val value: String,
)

/** Name of a service that upstreams offer. */
@JvmInline
@Serializable
public value class ServiceName(
    public val value: String,
)

/** Kind of work, for which sizes, run times and interference are estimated. */
@JvmInline
@Serializable
public value class WorkKind(
    public val value: String,
)

/** Number of a partition: a set of hosts and the tasks that run on them. */
@JvmInline
@Serializable
public value class PartitionNumber(
    public val value: Int,
)

/** Name of an entry process, unique for each start of the process. */
@JvmInline
@Serializable
public value class EntryId(
    public val value: String,
)
