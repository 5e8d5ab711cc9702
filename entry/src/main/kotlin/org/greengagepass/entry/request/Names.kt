/*
 * Checks the names, keys and identifiers that callers send.
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

/** Maximum length of a header that names a request, a key or an operator. */
public const val HEADER_LENGTH_MAXIMUM: Int = 256

/** The value, or one error that lists all faults. */
public fun <T> EitherNel<ValidationFault, T>.toApi(): Either<ApiError, T> =
    mapLeft { faults ->
        ApiError(ResultCode.INVALID_VALUE, faults.joinToString("; ") { "${it.field}: ${it.detail}" })
    }

/** Checks [names], pairs of a field and its value. Returns the error for the first invalid one. */
public fun checkNames(vararg names: Pair<String, String>): Either<ApiError, Unit> =
    names
        .map { (field, name) -> ConfigurationValidation.validateName(field, name).toApi() }
        .firstOrNull { it.isLeft() }
        ?.map { }
        ?: Unit.right()

/** Checks the length of [headers]. Returns the error for the first invalid one. Absent headers are valid. */
public fun ApplicationCall.checkHeaders(vararg headers: String): Either<ApiError, Unit> {
    val invalid = headers.firstOrNull { name -> request.headers[name]?.length?.let(::isInvalidLength) == true }
    return if (invalid == null) {
        Unit.right()
    } else {
        ApiError(ResultCode.INVALID_VALUE, "header $invalid must have 1 to $HEADER_LENGTH_MAXIMUM characters").left()
    }
}

private fun isInvalidLength(length: Int): Boolean = length !in 1..HEADER_LENGTH_MAXIMUM
