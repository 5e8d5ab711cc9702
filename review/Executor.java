import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound executor on a machine with an agent. The spec of a task is "MILLIS CPU": how long a run takes, or 0 if it
 * lasts until it is stopped, and the thousandths of a core that it needs. The third word "waits" marks a task that waits
 * for input meanwhile.
 */
final class Executor implements AutoCloseable {
    /** One run, as the executor saw it. */
    static final class Run {
        final String task;
        final int number;
        final String spec;
        final String executor;
        final long beganAt = Record.now();
        volatile long endedAt = -1;
        volatile String how = "running";
        /** When acked-through has reached the end, or -1; unless the lease has lapsed before. */
        volatile long notedAt = -1;
        private long dueAt;
        private String dueHow = "done";

        Run(String task, int number, String spec, String executor) {
            this.task = task;
            this.number = number;
            this.spec = spec;
            this.executor = executor;
        }

        int cpu() {
            return Integer.parseInt(spec.split(" ")[1]);
        }

        /** A task whose spec ends with "waits" uses no processor time from 0.5 s to 3.5 s after its start. */
        int cpuInUse() {
            long age = Record.now() - beganAt;
            return spec.endsWith(" waits") && age > 500 && age < 3_500 ? 0 : cpu();
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        @Override
        public String toString() {
            return task + " run " + number + " on " + executor + " from " + beganAt + " ms to "
                + (endedAt < 0 ? "now" : endedAt + " ms") + " (" + how + ")";
        }
    }

    private record End(int number, Run run) {
    }

    static final List<Run> ALL_RUNS = new CopyOnWriteArrayList<>();

    final String name;
    final String address;
    final String agentAddress;
    private final String pool;
    private final String zone;
    private final String rack;
    private final int capacityCpu;
    private final int stopMillis;
    private Http.Server server;

    private String id;
    private int starts;
    private long startedAt;
    private long born;
    private long sequence;
    private boolean isUp;
    private volatile boolean isDraining;
    private long leaseUntil;
    private long highestToken;
    private int endsListed;
    private final List<Run> running = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> superseded = new HashMap<>();
    private volatile long nextBeatAt;
    private volatile boolean isClosed;
    /** When the last heartbeat was acknowledged, or -1. */
    volatile long beatAcknowledgedAt = -1;
    volatile long drainAcknowledgedAt = -1;
    /** When the agent has last called, or -1. */
    volatile long calledAt = -1;

    Executor(String name, String address, String agentAddress, String pool, String zone, String rack, int capacityCpu,
        int stopMillis) throws IOException {
        this.name = name;
        this.address = address;
        this.agentAddress = agentAddress;
        this.pool = pool;
        this.zone = zone;
        this.rack = rack;
        this.capacityCpu = capacityCpu;
        this.stopMillis = stopMillis;
        start();
        Http.thread(name + " settles", () -> {
            while (!isClosed) {
                settle();
                sleep(5);
            }
        });
        Http.thread(name + " beats", () -> {
            while (!isClosed) {
                if (isUp && Record.now() >= nextBeatAt) {
                    nextBeatAt = Record.now() + 1_100;
                    beat();
                }
                sleep(20);
            }
        });
    }

    synchronized String id() {
        return id;
    }

    synchronized boolean holdsLease() {
        return isUp && leaseUntil > clock();
    }

    /** Starts a new incarnation under a new id. */
    synchronized void start() throws IOException {
        server = new Http.Server(address, this::handle);
        starts++;
        id = name + "-" + starts;
        startedAt = System.nanoTime();
        born = System.currentTimeMillis();
        sequence = 0;
        leaseUntil = 0;
        highestToken = 0;
        endsListed = 0;
        ends.clear();
        superseded.clear();
        isDraining = false;
        beatAcknowledgedAt = -1;
        drainAcknowledgedAt = -1;
        nextBeatAt = Record.now() + 100;
        isUp = true;
        Record.note(id + ": starts, born " + born);
    }

    /** Ends the incarnation with all its runs. Its connections are reset, as those of a process that ends. */
    synchronized void end(String reason) throws IOException {
        settle();
        isUp = false;
        Record.note(id + ": " + reason);
        for (Run run : running) {
            run.how = "gone with its executor";
            run.endedAt = Record.now();
            Record.note(id + ": " + run);
        }
        running.clear();
        notifyAll();
        server.close();
    }

    /** Announces that it drains, serves on for drainMillis after the acknowledgement, deregisters and ends. */
    void drainAndEnd(int drainMillis, int withoutAcknowledgementMillis) throws IOException {
        isDraining = true;
        nextBeatAt = 0;
        Record.note(id + ": drains");
        long giveUpAt = Record.now() + withoutAcknowledgementMillis;
        while (drainAcknowledgedAt < 0 && Record.now() < giveUpAt) sleep(20);
        if (drainAcknowledgedAt >= 0) sleep(drainMillis);
        else Record.note(id + ": no acknowledgement in " + withoutAcknowledgementMillis + " ms");
        try {
            Http.call(agentAddress, "POST", "/executors/" + id + "/deregister", "agent",
                Json.write(Json.map("born", born)), 1_000);
        } catch (IOException cause) {
            Record.note(id + ": no acknowledgement of the deregistration");
        }
        end("ends after draining");
    }

    /** The body of the next heartbeat. */
    synchronized Map<String, Object> beatBody() {
        sequence++;
        Map<String, Object> body = Json.map("service", pool, "address", address, "zone", zone, "version", "v1",
            "slots", 8, "state", isDraining ? "draining" : "ready", "cold-remaining-ms", 0,
            "capacity", Json.map("cpu", capacityCpu, "mem-mb", 128_000, "gpu", 0), "labels", List.of("a", rack),
            "clock-ms", clock(), "sequence", sequence, "born", born);
        if (isDraining) body.put("remaining-ms", 2_000);
        return body;
    }

    private void beat() {
        boolean saysDraining = isDraining;
        String path = "/executors/" + id() + "/heartbeat";
        String body = Json.write(beatBody());
        try {
            Http.Response response = Http.call(agentAddress, "POST", path, "agent", body, 1_000);
            if (response.status() / 100 != 2) throw new IOException("status " + response.status());
            if (beatAcknowledgedAt < 0) Record.note(id() + ": first heartbeat acknowledged");
            beatAcknowledgedAt = Record.now();
            if (saysDraining && drainAcknowledgedAt < 0) {
                drainAcknowledgedAt = Record.now();
                Record.note(id() + ": draining acknowledged");
            }
        } catch (IOException cause) {
            if (beatAcknowledgedAt >= 0 || saysDraining) {
                Record.note(id() + ": heartbeat " + sequence + " not acknowledged: " + cause.getMessage());
            }
        }
    }

    private synchronized long clock() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private synchronized Http.Response handle(Http.Request request) throws InterruptedException {
        if (!isUp) return null;
        settle();
        calledAt = Record.now();
        String expected = request.headers().get("x-expected-instance");
        if (expected != null && !expected.equals(id)) return new Http.Response(421, "{}");
        Map<String, Object> call = Json.object(request.text());
        long token = number(call, "fencing-token");
        if (token < highestToken) return refusal("fence");
        highestToken = token;
        return switch (request.path()) {
            case "/run-start" -> startRun(call);
            case "/run-stop" -> stopRun(call);
            case "/hold" -> hold(call);
            case "/pace" -> answer();
            default -> new Http.Response(400, "{}");
        };
    }

    private Http.Response startRun(Map<String, Object> call) {
        String task = (String) call.get("task");
        int number = (int) number(call, "run");
        String spec = (String) call.get("spec");
        long deadline = number(call, "deadline-ms");
        int cpu = Integer.parseInt(spec.split(" ")[1]);
        int used = 0;
        int there = 0;
        boolean isThere = false;
        for (Run run : running) {
            used += run.cpu();
            if (run.task.equals(task)) {
                there = Math.max(there, run.number);
                isThere |= run.number == number;
            }
        }
        String refused = null;
        if (isThere) extend(deadline);
        else if (number <= Math.max(there, superseded.getOrDefault(task, 0))) refused = "old";
        else if (deadline <= clock()) refused = "late";
        else if (used + cpu > capacityCpu) refused = "room";
        if (refused != null) {
            if (!refused.equals("late")) extend(deadline);
            Record.note(id + ": start of " + task + " run " + number + " refused: " + refused);
            return refusal(refused);
        }
        if (!isThere) {
            extend(deadline);
            Run run = new Run(task, number, spec, id);
            long millis = Long.parseLong(spec.split(" ")[0]);
            run.dueAt = millis == 0 ? Long.MAX_VALUE : Record.now() + millis;
            running.add(run);
            ALL_RUNS.add(run);
            Record.note(id + ": " + task + " run " + number + " begins, spec " + spec + ", token " + highestToken);
        }
        return answer();
    }

    private Http.Response stopRun(Map<String, Object> call) {
        String task = (String) call.get("task");
        int number = (int) number(call, "run");
        superseded.merge(task, number, Math::max);
        for (Run run : running) {
            if (run.task.equals(task) && run.number <= number && Record.now() + stopMillis < run.dueAt) {
                run.dueAt = Record.now() + stopMillis;
                run.dueHow = "stopped";
                Record.note(id + ": " + task + " run " + number + " is being stopped");
            }
        }
        return answer();
    }

    /** Ends a run as failed by its own fault. */
    synchronized void fail(Run run) {
        run.dueAt = Record.now();
        run.dueHow = "failed";
        settle();
    }

    private Http.Response hold(Map<String, Object> call) throws InterruptedException {
        long through = number(call, "acked-through");
        for (Iterator<End> iterator = ends.iterator(); iterator.hasNext();) {
            End end = iterator.next();
            if (end.number > through) continue;
            if (leaseUntil > clock()) end.run.notedAt = Record.now();
            iterator.remove();
        }
        extend(number(call, "deadline-ms"));
        long until = System.currentTimeMillis() + number(call, "wait-ms");
        while (isUp && ends.isEmpty() && System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
        }
        if (!isUp) return null;
        List<Object> runs = new ArrayList<>();
        for (Run run : running) {
            runs.add(List.of(run.task, run.number, "", 100, run.cpuInUse()));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(500, ends.size()))) {
            finished.add(List.of(end.number, end.run.task, end.run.number, end.run.how, ""));
        }
        return new Http.Response(200,
            Json.write(Json.map("clock-ms", clock(), "born", born, "running", runs, "finished", finished)));
    }

    private synchronized void settle() {
        if (!isUp) return;
        long now = Record.now();
        boolean hasLapsed = !running.isEmpty() && leaseUntil <= clock();
        for (Run run : new ArrayList<>(running)) {
            if (!hasLapsed && run.dueAt > now) continue;
            running.remove(run);
            run.how = run.dueAt <= now ? run.dueHow : "lapsed";
            run.endedAt = now;
            superseded.merge(run.task, run.number, Math::max);
            endsListed++;
            ends.add(new End(endsListed, run));
            Record.note(id + ": " + run.task + " run " + run.number + " ends: " + run.how);
            notifyAll();
        }
    }

    private void extend(long deadline) {
        leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + 10_000));
    }

    private Http.Response answer() {
        return new Http.Response(200, Json.write(Json.map("clock-ms", clock())));
    }

    private Http.Response refusal(String reason) {
        return new Http.Response(409, Json.write(Json.map("clock-ms", clock(), "reason", reason)));
    }

    private static long number(Map<String, Object> call, String name) {
        Object value = call.get(name);
        return value == null ? 0 : ((Number) value).longValue();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }
}
