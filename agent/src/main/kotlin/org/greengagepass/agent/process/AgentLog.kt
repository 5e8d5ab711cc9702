/*
 * Log lines of the agent. Each is a Log4j map message, which the logger writes as one JSON object.
 */
package org.greengagepass.agent.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.greengagepass.core.FencingToken
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId

/** Identifiers that a log line refers to. Null fields are omitted. */
internal data class LogSubject(
    val requestId: RequestId? = null,
    val taskId: TaskId? = null,
    val token: FencingToken? = null,
    val entry: String? = null,
    val code: ResultCode? = null,
)

/** Writes log lines that carry [host] and [failureDomain]. */
internal class AgentLog(
    private val host: String,
    private val failureDomain: String,
) {
    private val logger = LogManager.getLogger("org.greengagepass.agent")
    private val spanLogger = LogManager.getLogger("org.greengagepass.agent.span")

    /** Logs an event of normal operation. */
    fun info(
        text: String,
        subject: LogSubject = LogSubject(),
    ) = write(Level.INFO, text, subject)

    /** Logs an event that an operator should know about. */
    fun warn(
        text: String,
        subject: LogSubject = LogSubject(),
    ) = write(Level.WARN, text, subject)

    /** Logs the end of [span] with result [code]. */
    fun span(
        span: Span,
        requestId: RequestId,
        code: ResultCode,
    ) {
        if (!spanLogger.isInfoEnabled) return
        val message = messageOf("span", LogSubject(requestId = requestId, code = code))
        message.put("traceparent", span.traceparent)
        message.put("traceId", span.traceId)
        message.put("spanId", span.spanId)
        message.put("parentSpanId", span.parentSpanId)
        message.put("startEpochMillis", span.startedAtEpochMillis.toString())
        message.put("durationMicros", span.durationMicros().toString())
        spanLogger.info(message)
    }

    private fun write(
        level: Level,
        text: String,
        subject: LogSubject,
    ) {
        if (logger.isEnabled(level)) logger.log(level, messageOf(text, subject))
    }

    private fun messageOf(
        text: String,
        subject: LogSubject,
    ): StringMapMessage {
        val message = StringMapMessage()
        message.put("message", text)
        message.put("host", host)
        message.put("failureDomain", failureDomain)
        subject.requestId?.let { message.put("requestId", it.value) }
        subject.taskId?.let { message.put("task", it.value) }
        subject.token?.let { message.put("token", it.value.toString()) }
        subject.entry?.let { message.put("entry", it) }
        subject.code?.let { message.put("code", it.number.toString()) }
        return message
    }
}
