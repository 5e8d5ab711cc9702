import java.util.ArrayList;
import java.util.List;

/**
 * Jobs whose tasks wait for input for some seconds, during which they use no processor time. Nothing else happens. With
 * TROUBLE=0 the tasks use the processor all the time.
 */
final class WaitingTaskCase implements Review.Case {
    private static final int JOBS = 4;
    private static final int TASKS = 8;
    private static final int TASK_MILLIS = 5_000;
    private static final long FINISH_MILLIS = 14_000;

    @Override
    public boolean isBroken(boolean hasTrouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 4, 32_000)) {
            deployment.awaitReady();
            Executor.sleep(3_000);
            int entry = (deployment.leader() + 1) % 3;
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = "5c0e7a21d94b36f" + i;
                String spec = TASK_MILLIS + " 1000" + (hasTrouble ? " waits" : "");
                String body = Caller.job(spec, List.of(Caller.step(TASKS, 1_000, TASK_MILLIS)));
                if (Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "POST", id, body) != 200) {
                    throw new IllegalStateException("the job was not accepted");
                }
                ids.add(id);
            }
            long trafficEnd = Record.now();
            Executor.sleep(FINISH_MILLIS + 35_000);
            boolean isBroken = false;
            for (String id : ids) {
                Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "GET", id, "");
                isBroken |= Check.isLost(id, TASKS, 1_000, 4 * 32_000, trafficEnd + FINISH_MILLIS);
            }
            return isBroken;
        }
    }
}
