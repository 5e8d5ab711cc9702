import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log whose topics have one partition here. It is never slow or down. */
final class Store implements AutoCloseable {
    private static final int RECORD_BYTES = 262_144;
    private static final int REQUEST_BYTES = 2_097_152;
    private final Map<String, Topic> topics = new HashMap<>();
    private final Http.Server server;

    Store(String address) throws IOException {
        server = new Http.Server(address, this::handle);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Writes as the operator does. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[1 + name.length + content.length];
        record[0] = (byte) name.length;
        System.arraycopy(name, 0, record, 1, name.length);
        System.arraycopy(content, 0, record, 1 + name.length, content.length);
        topic(topic).records.add(record);
        notifyAll();
    }

    /** The newest record in the topic as text, or an empty string. */
    synchronized String last(String topic) {
        List<byte[]> records = topic(topic).records;
        return records.isEmpty() ? "" : new String(records.get(records.size() - 1), StandardCharsets.ISO_8859_1);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, ignored -> new Topic());
    }

    private synchronized Http.Response handle(Http.Request request) throws InterruptedException, IOException {
        Topic topic = topic(request.query().get("topic"));
        return switch (request.path()) {
            case "/log-append" -> append(topic, request);
            case "/log-read" -> read(topic, request);
            case "/log-newest" -> newest(topic, request.query().getOrDefault("depends-on", ""));
            default -> new Http.Response(404, "{}");
        };
    }

    private Http.Response append(Topic topic, Http.Request request) {
        Map<String, String> query = request.query();
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(request.body());
        int total = 0;
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
            total += record.length;
            if (record.length > RECORD_BYTES || total > REQUEST_BYTES) {
                Record.note("store: an append is refused with 400, since a record has " + record.length + " bytes");
                return new Http.Response(400, "{}");
            }
        }
        String producer = query.get("producer");
        long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
        long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
        Writer writer = producer == null ? null : topic.writers.get(producer);
        if (writer != null) {
            if (epoch < writer.epoch) return new Http.Response(409, "{\"reason\":\"fenced\"}");
            if (epoch == writer.epoch && sequence != writer.last + 1) {
                String known = writer.answers.get(sequence);
                if (known != null) return new Http.Response(200, known);
                return new Http.Response(409, "{\"reason\":\"seq\",\"sequence\":" + (writer.last + 1) + "}");
            }
        }
        int end = topic.records.size();
        if (query.containsKey("at") && Integer.parseInt(query.get("at")) != end) {
            return new Http.Response(412, "{\"end-offset\":" + end + "}");
        }
        topic.records.addAll(records);
        String answer = "{\"offset\":" + end + ",\"end-offset\":" + topic.records.size() + "}";
        if (producer != null) {
            if (writer == null || writer.epoch < epoch) topic.writers.put(producer, writer = new Writer(epoch));
            writer.last = sequence;
            writer.answers.put(sequence, answer);
            if (writer.answers.size() > 5) writer.answers.remove(writer.answers.keySet().iterator().next());
        }
        notifyAll();
        return new Http.Response(200, answer);
    }

    private Http.Response read(Topic topic, Http.Request request) throws InterruptedException, IOException {
        int from = Integer.parseInt(request.query().get("from"));
        long until = System.currentTimeMillis() + Long.parseLong(request.query().getOrDefault("wait-ms", "0"));
        while (topic.records.size() <= from && System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
        }
        int left = Integer.parseInt(request.query().getOrDefault("max-kb", "1024")) * 1024;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        output.writeLong(topic.records.size());
        output.writeLong(0);
        for (int i = from; i < topic.records.size() && left > 0; i++) {
            byte[] record = topic.records.get(i);
            left -= record.length;
            if (left < 0 && i > from) break;
            output.writeInt(record.length);
            output.write(record);
        }
        return new Http.Response(200, bytes.toByteArray());
    }

    private Http.Response newest(Topic topic, String after) {
        TreeMap<String, Object> newest = new TreeMap<>();
        for (int i = 0; i < topic.records.size(); i++) {
            byte[] record = topic.records.get(i);
            int keyEnd = 1 + (record[0] & 0xff);
            String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
            if (record.length == keyEnd) {
                newest.remove(key);
            } else {
                byte[] value = Arrays.copyOfRange(record, keyEnd, record.length);
                newest.put(key, Json.map("key", key, "value", Base64.getEncoder().encodeToString(value), "offset", i));
            }
        }
        List<Object> items = new ArrayList<>(newest.tailMap(after, false).values());
        boolean hasMore = items.size() > 500;
        if (hasMore) items = items.subList(0, 500);
        return new Http.Response(200,
            Json.write(Json.map("items", items, "has-more", hasMore, "end-offset", topic.records.size())));
    }

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Writer> writers = new HashMap<>();
    }

    private static final class Writer {
        final long epoch;
        long last;
        final Map<Long, String> answers = new LinkedHashMap<>();

        Writer(long epoch) {
            this.epoch = epoch;
        }
    }
}
