import java.util.List;

/**
 * One large job of many small tasks, which fit the executors all at once. With TROUBLE=0 it has fewer tasks.
 */
final class WideJobCase implements Review.Case {
    private static final int HOSTS = 2;
    private static final int TASKS = 2_600;
    private static final int FEWER_TASKS = 1_600;
    private static final int CPU = 20;
    private static final long FINISH_MILLIS = 14_000;

    @Override
    public boolean isBroken(boolean hasTrouble) throws Exception {
        try (Deployment deployment = new Deployment(3, HOSTS, 32_000)) {
            deployment.awaitReady();
            Executor.sleep(3_000);
            String id = "5c0e7a21d94b36f8";
            int tasks = hasTrouble ? TASKS : FEWER_TASKS;
            int entry = (deployment.leader() + 1) % 3;
            String body = Caller.job("500 " + CPU,
                List.of(Json.map("count", tasks, "cpu", CPU, "mem-mb", 16, "estimated-ms", 500)));
            if (Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "POST", id, body) != 200) {
                throw new IllegalStateException("the job was not accepted");
            }
            long trafficEnd = Record.now();
            for (int i = 0; i < 7; i++) {
                Executor.sleep(5_000);
                Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "GET", id, "");
                Record.note("runs begun: " + Executor.ALL_RUNS.size());
            }
            return Check.isLost(id, tasks, CPU, HOSTS * 32_000, trafficEnd + FINISH_MILLIS);
        }
    }
}
