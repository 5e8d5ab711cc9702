/*
 * Lists in pages. A call requests a page by the name after which it starts and by its length.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.greengagepass.core.ResultCode
import java.util.TreeMap

/** Maximum and default number of items in a page. */
public const val PAGE_LENGTH_MAXIMUM: Int = 500

/** One page of a list. [next] is the name after which the next page starts, if there is one. */
@Serializable
public data class ListPage<T>(
    val items: List<T>,
    val next: String? = null,
)

/** The page that a call requests. */
public data class PageRequest(
    val after: String,
    val limit: Int,
) {
    /** The page of [items] in the order of [nameOf]. One pass over the items keeps no more than the page in memory. */
    public fun <T> of(
        items: Sequence<T>,
        nameOf: (T) -> String,
    ): ListPage<T> {
        val kept = TreeMap<String, T>()
        items.forEach { item ->
            val name = nameOf(item)
            if (name > after) kept[name] = item
            if (kept.size > limit + 1) kept.pollLastEntry()
        }
        val hasMore = kept.size > limit
        if (hasMore) kept.pollLastEntry()
        return ListPage(kept.values.toList(), next = if (hasMore) kept.lastKey() else null)
    }
}

/** The page that this call requests by the query parameters after and limit. */
public fun ApplicationCall.pageRequest(): Either<ApiError, PageRequest> {
    val text = request.queryParameters["limit"] ?: PAGE_LENGTH_MAXIMUM.toString()
    val limit = text.toIntOrNull()
    return if (limit == null || limit !in 1..PAGE_LENGTH_MAXIMUM) {
        ApiError(ResultCode.INVALID_VALUE, "limit is '$text'; allowed are 1 to $PAGE_LENGTH_MAXIMUM").left()
    } else {
        PageRequest(request.queryParameters["after"].orEmpty(), limit).right()
    }
}

/** Answers with [page] or its error. */
public suspend fun <T> ApplicationCall.respondPage(
    serializer: KSerializer<T>,
    page: Either<ApiError, ListPage<T>>,
) {
    when (page) {
        is Either.Left -> respondError(page.value)
        is Either.Right -> respondJson(ListPage.serializer(serializer), page.value)
    }
}
