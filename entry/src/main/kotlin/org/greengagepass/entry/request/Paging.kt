/*
 * Lists in pages. A page is asked for by the name after which it begins and by its length.
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

/** Most items in a page, and the length of a page if none is asked for. */
public const val PAGE_LENGTH_MAXIMUM: Int = 500

/** One page of a list; [next] is the name to continue after, if there is more. */
@Serializable
public data class ListPage<T>(
    val items: List<T>,
    val next: String? = null,
)

/** The page that a call asks for. */
public data class PageRequest(
    val after: String,
    val limit: Int,
) {
    /** The page of [items] by their [nameOf], in one pass that keeps no more than the page. */
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

/** The page that this call asks for by the query parameters after and limit. */
public fun ApplicationCall.pageRequest(): Either<ApiError, PageRequest> {
    val text = request.queryParameters["limit"] ?: PAGE_LENGTH_MAXIMUM.toString()
    val limit = text.toIntOrNull()
    return if (limit == null || limit !in 1..PAGE_LENGTH_MAXIMUM) {
        ApiError(ResultCode.INVALID_VALUE, "limit is '$text'; it must be 1 to $PAGE_LENGTH_MAXIMUM").left()
    } else {
        PageRequest(request.queryParameters["after"].orEmpty(), limit).right()
    }
}

/** Answers [page], or why there is none. */
public suspend fun <T> ApplicationCall.respondPage(
    serializer: KSerializer<T>,
    page: Either<ApiError, ListPage<T>>,
) {
    when (page) {
        is Either.Left -> respondError(page.value)
        is Either.Right -> respondJson(ListPage.serializer(serializer), page.value)
    }
}
