/*
 * Backend of the Log4j 2 API that writes one JSON object per line. It is the simple logger of the API with another line
 * format; the JSON comes from the map messages of the API. log4j-core with PatternLayout loads 700 classes and took 6
 * MB more of the agent's 64 MB.
 */
package org.greengagepass.agent.process

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Marker
import org.apache.logging.log4j.message.MapMessage
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.MessageFactory
import org.apache.logging.log4j.message.ParameterizedMessageFactory
import org.apache.logging.log4j.message.StringMapMessage
import org.apache.logging.log4j.simple.SimpleLogger
import org.apache.logging.log4j.simple.SimpleLoggerContextFactory
import org.apache.logging.log4j.spi.ExtendedLogger
import org.apache.logging.log4j.spi.LoggerContext
import org.apache.logging.log4j.spi.Provider
import org.apache.logging.log4j.util.PropertiesUtil
import java.io.PrintStream
import java.net.URI
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap

/** System property that holds the lowest level to write. */
internal const val LOG_LEVEL_PROPERTY: String = "greengagepass.log.level"

private const val PRIORITY = 15
private const val API_VERSION = "2.6.0"

/** Registers this backend with the Log4j 2 API, with priority over log4j-core where tests have both. */
public class JsonLinesProvider : Provider(PRIORITY, API_VERSION, JsonLinesContextFactory::class.java)

/** Returns the single logger context of the process. */
public class JsonLinesContextFactory : SimpleLoggerContextFactory() {
    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
    ): LoggerContext = JsonLinesContext

    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
        configLocation: URI?,
        name: String?,
    ): LoggerContext = JsonLinesContext
}

private object JsonLinesContext : LoggerContext {
    private val loggers = ConcurrentHashMap<String, ExtendedLogger>()

    override fun getExternalContext(): Any? = null

    override fun getLogger(name: String): ExtendedLogger =
        loggers.computeIfAbsent(name) { JsonLinesLogger(it, System.out) }

    override fun getLogger(
        name: String,
        messageFactory: MessageFactory?,
    ): ExtendedLogger = getLogger(name)

    override fun hasLogger(name: String): Boolean = loggers.containsKey(name)

    override fun hasLogger(
        name: String,
        messageFactory: MessageFactory?,
    ): Boolean = loggers.containsKey(name)

    override fun hasLogger(
        name: String,
        messageFactoryClass: Class<out MessageFactory>?,
    ): Boolean = loggers.containsKey(name)
}

/** Writes to [stream]. The text of a message that is not a map goes into the field `message`. */
internal class JsonLinesLogger(
    name: String,
    private val stream: PrintStream,
) : SimpleLogger(
        name,
        Level.toLevel(System.getProperty(LOG_LEVEL_PROPERTY), Level.INFO),
        false,
        false,
        false,
        false,
        "",
        ParameterizedMessageFactory.INSTANCE,
        PropertiesUtil.getProperties(),
        stream,
    ) {
    override fun logMessage(
        fqcn: String?,
        level: Level,
        marker: Marker?,
        message: Message,
        throwable: Throwable?,
    ) {
        val fields = StringMapMessage()
        if (message is MapMessage<*, *>) {
            message.data.forEach { (key, value) -> fields.put(key, value.toString()) }
        } else {
            fields.put("message", message.formattedMessage)
        }
        fields.put("time", Instant.now().toString())
        fields.put("level", level.name())
        throwable?.let { fields.put("error", it.stackTraceToString()) }
        stream.println(fields.asString("JSON"))
    }
}
