/*
 * Rendezvous hashing: from a set that all processes know, each process picks the members with the highest hash of its
 * own name and the member's. Adding or removing a member affects only the share of that member.
 */
package org.greengagepass.core.request

private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FIRST_SHIFT = 33
private const val FIRST_FACTOR = -0xae502812aa7333L
private const val SECOND_FACTOR = -0x3b314601e57a13adL

/** Choice of a subset by rendezvous hash. */
public object SubsetSelection {
    /** Returns the [count] members of [members] that [chooser] uses, in order of preference. */
    public fun <T> select(
        chooser: String,
        members: Collection<T>,
        count: Int,
        nameOf: (T) -> String,
    ): List<T> =
        members
            .map { ScoredMember(it, nameOf(it), score(chooser, nameOf(it))) }
            .sortedWith(compareByDescending<ScoredMember<T>> { it.score }.thenBy { it.name })
            .take(count)
            .map { it.member }

    /** Preference of [chooser] for [member], which is the same in every process and version. */
    public fun score(
        chooser: String,
        member: String,
    ): Long = mix(hash(hash(FNV_OFFSET_BASIS, chooser) * FNV_PRIME, member))

    private fun hash(
        start: Long,
        text: String,
    ): Long = text.fold(start) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    /** Final mix of MurmurHash3. Without it names that differ only in the last character have similar scores. */
    private fun mix(hash: Long): Long {
        val first = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_FACTOR
        val second = (first xor (first ushr FIRST_SHIFT)) * SECOND_FACTOR
        return second xor (second ushr FIRST_SHIFT)
    }
}

private class ScoredMember<T>(
    val member: T,
    val name: String,
    val score: Long,
)
