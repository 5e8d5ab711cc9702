import java.util.List;

/**
 * One executor crashes twice, each time shortly after the first runs have begun on it. The tasks are sound. Their job
 * may be shown as failed only after a task of it has ended as failed max-attempts times.
 */
final class GivenUpCase implements Review.Case {
    private static final String ID = "5c0e7a21d94b36f8";

    @Override
    public boolean isBroken(boolean hasTrouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 4, 32_000)) {
            deployment.awaitReady();
            Executor.sleep(2_000);
            Executor weak = deployment.executors.get(0);
            int entry = (deployment.leader() + 1) % 3;
            String body = Caller.job("1500 1000", List.of(Caller.step(8, 1_000, 1_500)));
            int status = Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "POST", ID, body);
            if (status != 200) throw new IllegalStateException("the job was not accepted");
            for (int crash = 0; hasTrouble && crash < 2; crash++) {
                String id = weak.id();
                if (!awaitRun(id, 12_000)) break;
                Executor.sleep(250);
                weak.end("crashes");
                Executor.sleep(800);
                weak.start();
            }
            String state = "";
            for (int i = 0; i < 20 && !state.contains("failed") && !state.contains("completed"); i++) {
                Executor.sleep(1_000);
                state = Http.call(deployment.frontend(entry), "GET", Deployment.PREFIX + ID, Deployment.HOST, "", 3_000).text();
            }
            Record.note("client: GET " + Deployment.PREFIX + ID + " is answered " + state + "; runs of the job:");
            long failures = 0;
            for (Executor.Run run : Executor.ALL_RUNS) {
                if (!run.job().equals(ID)) continue;
                Record.note("    " + run);
                if (run.how.equals("failed")) failures++;
            }
            boolean isBroken = state.contains("failed") && failures == 0;
            if (isBroken) Record.note("THE JOB IS SHOWN AS FAILED, and none of its runs has ended so");
            return isBroken;
        }
    }

    /** Waits until a run of the job has begun on the incarnation. */
    private boolean awaitRun(String executor, long millis) {
        long until = Record.now() + millis;
        while (Record.now() < until) {
            if (Executor.ALL_RUNS.stream().anyMatch(r -> r.executor.equals(executor) && r.job().equals(ID))) return true;
            Executor.sleep(5);
        }
        Record.note("no run of the job on " + executor + " in " + millis + " ms");
        return false;
    }
}
