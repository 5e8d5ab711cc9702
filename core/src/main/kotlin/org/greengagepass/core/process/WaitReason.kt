/*
 * Reasons why a task waits, as text for operators.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind

/** Why the last round did not place a task. */
public sealed class WaitReason {
    /** The code that goes with the reason. */
    public abstract val code: ResultCode

    /** Description of the reason for operators. */
    public abstract val text: String

    /** Other tasks came first, by priority or by the shares of their teams. */
    public data object QueuedBehindOthers : WaitReason() {
        override val code: ResultCode = ResultCode.OVERLOADED
        override val text: String = "tasks of higher priority or of teams with a lower share come first"
    }

    /** No host may receive tasks. */
    public data object NoHosts : WaitReason() {
        override val code: ResultCode = ResultCode.HOST_FULL
        override val text: String = "no host is in service"
    }

    /** The team would run more than its quota. */
    public data class OverQuota(
        val team: TeamName,
        val limit: Resources,
    ) : WaitReason() {
        override val code: ResultCode = ResultCode.QUOTA_EXHAUSTED
        override val text: String
            get() = "team ${team.value} would exceed its quota with $limit more"
    }

    /** No host has the free capacity that the task needs. */
    public data class InsufficientCapacity(
        val need: Resources,
    ) : WaitReason() {
        override val code: ResultCode = ResultCode.HOST_FULL
        override val text: String
            get() = "no host has $need free"
    }

    /** Capacity on [host] is reserved for the task until other tasks there have been evicted or have ended. */
    public data class CapacityReserved(
        val host: HostId,
        val evictions: Int,
    ) : WaitReason() {
        override val code: ResultCode = ResultCode.HOST_FULL
        override val text: String
            get() = "capacity on host ${host.value} is reserved for the task, with $evictions evictions"
    }

    /** Even on the best candidate host the kind would put services over their objectives. */
    public data class Interference(
        val kind: WorkKind,
    ) : WaitReason() {
        override val code: ResultCode = ResultCode.OVERLOADED
        override val text: String
            get() = "work of kind ${kind.value} would slow services beyond their objectives"
    }

    /** The task needs more than any host has and can't run on the current hosts. */
    public data class ExceedsEveryHost(
        val need: Resources,
        val largestHost: Resources,
    ) : WaitReason() {
        override val code: ResultCode = ResultCode.TASK_CANNOT_RUN
        override val text: String
            get() = "the task needs $need, the largest host holds $largestHost"
    }
}
