/*
 * Compact encoding of resources for messages that contain them many times.
 */
package org.greengagepass.protocol.connection

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.greengagepass.core.Resources

private const val PARTS = 3

/** Encodes milli-cores, memory megabytes and accelerators as a list of three numbers. */
internal object ResourcesAsList : KSerializer<Resources> {
    private val parts = ListSerializer(Long.serializer())

    override val descriptor: SerialDescriptor = parts.descriptor

    override fun serialize(
        encoder: Encoder,
        value: Resources,
    ) = encoder.encodeSerializableValue(
        parts,
        listOf(value.milliCores, value.memoryMegabytes, value.accelerators.toLong()),
    )

    override fun deserialize(decoder: Decoder): Resources {
        val values = decoder.decodeSerializableValue(parts)
        if (values.size != PARTS) throw SerializationException("resources have $PARTS parts, not ${values.size}")
        val (milliCores, memoryMegabytes, accelerators) = values
        return Resources(milliCores, memoryMegabytes, accelerators.toInt())
    }
}
