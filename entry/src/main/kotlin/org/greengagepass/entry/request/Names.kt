/*
 * Checks of the names, keys and identifiers that callers give.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import arrow.core.EitherNel
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import org.greengagepass.core.ResultCode
import org.greengagepass.core.version.ConfigurationValidation
import org.greengagepass.core.version.ValidationFault

/** Most characters in a header that names a request, a key or an operator. */
public const val HEADER_LENGTH_MAXIMUM: Int = 256

/** The value, or all faults as one error. */
public fun <T> EitherNel<ValidationFault, T>.toApi(): Either<ApiError, T> =
    mapLeft { faults ->
        ApiError(ResultCode.INVALID_VALUE, faults.joinToString("; ") { "${it.field}: ${it.detail}" })
    }

/** Unit, or what is wrong with the first wrong one of [names], which are pairs of a field and its value. */
public fun checkNames(vararg names: Pair<String, String>): Either<ApiError, Unit> =
    names
        .map { (field, name) -> ConfigurationValidation.validateName(field, name).toApi() }
        .firstOrNull { it.isLeft() }
        ?.map { }
        ?: Unit.right()

/** Unit, or what is wrong with the first of [headers] that is empty or too long. An absent one is right. */
public fun ApplicationCall.checkHeaders(vararg headers: String): Either<ApiError, Unit> {
    val wrong = headers.firstOrNull { name -> request.headers[name]?.length?.let(::isWrongLength) == true }
    return if (wrong == null) {
        Unit.right()
    } else {
        ApiError(ResultCode.INVALID_VALUE, "header $wrong must have 1 to $HEADER_LENGTH_MAXIMUM characters").left()
    }
}

private fun isWrongLength(length: Int): Boolean = length !in 1..HEADER_LENGTH_MAXIMUM
