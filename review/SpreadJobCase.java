import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One large job whose tasks are spread by anti-affinity comes in, while a job that lasts is at work; a small job is
 * handed in afterwards. With TROUBLE=0 the large job has a tenth of the tasks.
 */
final class SpreadJobCase implements Review.Case {
    private static final int HOSTS = 10;
    private static final int TASKS = 10_000;
    private static final int STANDING_TASKS = 4;
    private static final long OBSERVED_MILLIS = 50_000;
    private static final String STANDING = "00000000000000aa";
    private static final String LARGE = "00000000000000bb";
    private static final String SMALL = "00000000000000cc";
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();

    @Override
    public boolean isBroken(boolean hasTrouble) throws Exception {
        try (Deployment deployment = new Deployment(3, HOSTS, 32_000)) {
            deployment.awaitReady();
            Executor.sleep(3_000);
            int entry = (deployment.leader() + 1) % 3;
            submit(deployment, entry, STANDING, Caller.job("0 1000", List.of(Caller.step(STANDING_TASKS, 1_000, 0,
                "long-running", true, "image", "i-1", "target-ms", 50, "may-skip", 1))));
            Executor.sleep(4_000);
            int tasks = hasTrouble ? TASKS : TASKS / 10;
            String large = Caller.job("500 10", List.of(Json.map("count", tasks, "cpu", 10, "mem-mb", 8, "estimated-ms",
                500, "anti-affinity", tasks / HOSTS)));
            long since = Record.now();
            Http.thread("large job", () -> submit(deployment, entry, LARGE, large));
            Executor.sleep(5_000);
            String small = Caller.job("500 1000", List.of(Caller.step(1, 1_000, 500)));
            Http.thread("small job", () -> submit(deployment, entry, SMALL, small));
            while (Record.now() < since + OBSERVED_MILLIS) {
                Executor.sleep(5_000);
                long running = Executor.ALL_RUNS.stream().filter(r -> r.endedAt < 0).count();
                Record.note("runs begun: " + Executor.ALL_RUNS.size() + ", running now: " + running);
            }
            for (String id : List.of(STANDING, LARGE, SMALL)) {
                Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "GET", id, "");
                Record.note("job " + id + (accepted.contains(id) ? " was accepted" : " was not accepted"));
            }
            for (int i = 0; i < 3; i++) {
                String name = deployment.entries.get(i);
                Record.note(name + " has begun to lead " + deployment.log(name, "this entry is the leader").size()
                    + " times");
            }
            return Check.isStandingTaskLost(STANDING, STANDING_TASKS);
        }
    }

    /** Hands in a job as a client does, which repeats a request without an answer, or after a 503, at another node. */
    private void submit(Deployment deployment, int entry, String id, String body) {
        for (int attempt = 0; attempt < 5; attempt++) {
            int at = (entry + attempt) % 3;
            int status = Caller.call(deployment.entries.get(at), deployment.frontend(at), "POST", id, body);
            if (status == 200) {
                accepted.add(id);
                return;
            }
            Executor.sleep(300);
        }
    }
}
