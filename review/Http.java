import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: a server, and a connection of a client. Bodies have a Content-Length. */
final class Http {
    private Http() {
    }

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    record Response(int status, byte[] body) {
        Response(int status, String text) {
            this(status, text.getBytes(StandardCharsets.UTF_8));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Returns null to leave the request without an answer. */
        Response handle(Request request) throws Exception;
    }

    static InetSocketAddress address(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1)));
    }

    /** Serves at one address until it is closed. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String address, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            listener.bind(address(address), 200);
            thread("server " + address, this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    thread("connection", () -> serve(socket));
                }
            } catch (IOException closed) {
                // The server was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = readRequest(input);
                    if (request == null) return;
                    Response response = handler.handle(request);
                    if (response == null) {
                        while (input.read() >= 0) continue;
                        return;
                    }
                    String head = "HTTP/1.1 " + response.status + " Status\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + response.body.length + "\r\n\r\n";
                    socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.UTF_8), response.body));
                    socket.getOutputStream().flush();
                }
            } catch (IOException ended) {
                // The caller has closed the connection.
            } catch (Exception cause) {
                Record.note("stand-in error: " + cause);
                cause.printStackTrace();
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException alreadyClosed) {
                    // Its own thread has closed it.
                }
            }
        }
    }

    /** One connection of a client, which stays open between requests. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream input;

        Connection(String address) throws IOException {
            socket.connect(address(address), 2_000);
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, String host, Map<String, String> headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n\r\n");
            socket.getOutputStream().write(concat(head.toString().getBytes(StandardCharsets.UTF_8), bytes));
            socket.getOutputStream().flush();
        }

        Response receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            String status = readLine(input);
            if (status == null) throw new IOException("the connection was closed without an answer");
            Map<String, String> headers = readHeaders(input);
            byte[] body;
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                int size;
                do {
                    size = Integer.parseInt(readLine(input).trim(), 16);
                    out.write(input.readNBytes(size));
                    readLine(input);
                } while (size > 0);
                body = out.toByteArray();
            } else {
                body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            }
            return new Response(Integer.parseInt(status.split(" ")[1]), body);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Makes one call on a connection of its own. */
    static Response call(String address, String method, String path, String host, String body, int timeoutMillis)
        throws IOException {
        try (Connection connection = new Connection(address)) {
            connection.send(method, path, host, Map.of("X-Deadline-Ms", "" + timeoutMillis), body);
            return connection.receive(timeoutMillis);
        }
    }

    static void thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static Request readRequest(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null || line.isEmpty()) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(input);
        byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        Map<String, String> query = new LinkedHashMap<>();
        int mark = words[1].indexOf('?');
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], mark < 0 ? words[1] : words[1].substring(0, mark), query, headers, body);
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = input.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') {
            if (c != '\r') line.append((char) c);
            c = input.read();
        }
        return line.toString();
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
