/*
 * The HTTP client that a process shares for all calls to the platform.
 */
package org.greengagepass.services.process

import java.net.http.HttpClient
import java.time.Duration
import java.util.concurrent.Executor

private const val CONNECT_TIMEOUT_MILLIS = 1_000L

/**
 * Idle time in seconds after which a pooled connection is closed. It is below the usual 45 s to 75 s of servers,
 * because a request on a connection that the server is closing has an unknown outcome.
 */
private const val KEEP_ALIVE_SECONDS = "20"

/** Creates a client that runs its callbacks on [executor]. */
public fun platformHttpClient(executor: Executor): HttpClient {
    System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS)
    return HttpClient
        .newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
        .sslContext(noTlsContext())
        .executor(executor)
        .build()
}
