/*
 * The partitions of this entry's region. The partition of a task, a key or a host is the hash of its name modulo
 * the number of partitions, the same in every process.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.HostId
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.TaskId
import org.greengagepass.core.process.RequestKey
import java.util.zip.CRC32

/** All partitions, in the order of their numbers. */
public class Partitions(
    public val all: List<PartitionService>,
) {
    /** The partition that holds [taskId]. */
    public fun of(taskId: TaskId): PartitionService = all[numberOf(taskId.value).value]

    /** The partition that holds [host]. */
    public fun of(host: HostId): PartitionService = all[numberOf(host.value).value]

    /** The partition that holds [key]. */
    public fun of(key: RequestKey): PartitionService = all[numberOf(key).value]

    /** Number of the partition that holds [host]. */
    public fun numberOf(host: HostId): PartitionNumber = numberOf(host.value)

    /** Number of the partition that holds [key]. */
    public fun numberOf(key: RequestKey): PartitionNumber = numberOf("${key.team.value}/${key.idempotencyKey}")

    private fun numberOf(name: String): PartitionNumber {
        val checksum = CRC32().apply { update(name.encodeToByteArray()) }
        return PartitionNumber((checksum.value % all.size).toInt())
    }
}
