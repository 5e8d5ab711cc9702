/*
 * Data about a call that is collected while it is handled, for its log line, its span and the metrics.
 */
package org.greengagepass.entry.request

import io.ktor.server.application.ApplicationCall
import io.ktor.util.AttributeKey
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.process.HopSpan

/** Data about the call [requestId]. The routes set the service, the task and the code. */
public class CallRecord(
    public val requestId: String,
    public val span: HopSpan,
) {
    /** Service that the call is for, if it is a request. */
    public var service: String? = null

    /** Task that the call is about, if any. */
    public var taskId: String? = null

    /** Result of the call. */
    public var code: ResultCode = ResultCode.OK
}

/** Key of the record among the attributes of a call. */
public val CALL_RECORD: AttributeKey<CallRecord> = AttributeKey("CallRecord")

/** The record of this call; null for calls that are not recorded. */
public val ApplicationCall.record: CallRecord?
    get() = attributes.getOrNull(CALL_RECORD)
