/*
 * Pages of lists.
 */
package org.greengagepass.entry.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.set
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class PagingTest {
    /** Guards against items that are missing between two pages or appear in both. */
    @Test
    fun `the pages together contain the whole list in order`() =
        runBlocking<Unit> {
            checkAll(Arb.set(Arb.string(1..5), 0..40), Arb.int(1..10)) { names, limit ->
                val read = ArrayList<String>()
                var after: String? = ""
                while (after != null) {
                    val page = PageRequest(after, limit).of(names.shuffled().asSequence()) { it }
                    expectThat(page.items.size).isLessThanOrEqualTo(limit)
                    read += page.items
                    after = page.next
                }
                expectThat(read.toList()).isEqualTo(names.sorted())
            }
        }
}
