import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Checks of the rules, from what the executors have seen. */
final class Check {
    private static final long LOST_MILLIS = 3_000;
    private static final long STANDING_MILLIS = 6_000;
    private static final long STEP_MILLIS = 20;

    private Check() {
    }

    /**
     * The last part of the rule LOST for a job of one step: from the given time on, for 3 s, it has nothing running
     * while a task's turn has come, there is capacity for it twice over, and under half of the capacity is in use.
     */
    static boolean isLost(String job, int tasks, int cpu, int capacityCpu, long fromMillis) {
        List<Executor.Run> runs = Executor.ALL_RUNS.stream().filter(r -> r.job().equals(job)).toList();
        long idleSince = -1;
        long longest = 0;
        long longestFrom = 0;
        for (long now = fromMillis; now <= Record.now(); now += STEP_MILLIS) {
            Set<String> done = new HashSet<>();
            boolean isRunning = false;
            for (Executor.Run run : runs) {
                if (run.how.equals("done") && run.endedAt <= now) done.add(run.task);
                isRunning |= run.beganAt <= now && (run.endedAt < 0 || run.endedAt >= now);
            }
            boolean isIdle = done.size() < tasks && !isRunning && usedCpu(now) <= capacityCpu / 2 - 2 * cpu;
            if (!isIdle) idleSince = -1;
            else if (idleSince < 0) idleSince = now;
            if (isIdle && now - idleSince > longest) {
                longest = now - idleSince;
                longestFrom = idleSince;
            }
        }
        long done = runs.stream().filter(r -> r.how.equals("done")).map(r -> r.task).distinct().count();
        long stopped = runs.stream().filter(r -> r.how.equals("stopped")).count();
        boolean isLost = longest >= LOST_MILLIS;
        Record.note("job " + job + ": " + done + " of " + tasks + " tasks done; " + runs.size() + " runs, " + stopped
            + " of them stopped; from finish_s on, nothing running for " + longest + " ms on end, from " + longestFrom
            + " ms, with room free" + (isLost ? ": LOST" : ""));
        return isLost;
    }

    /**
     * The rule LOST for the tasks of a job that lasts, which nobody has cancelled: from 6 s after its last run, for 3 s,
     * a task has no run, though there is capacity for it.
     */
    static boolean isStandingTaskLost(String job, int tasks) {
        boolean isLost = false;
        for (int index = 0; index < tasks; index++) {
            String task = job + ".0.0." + index;
            List<Executor.Run> runs = Executor.ALL_RUNS.stream().filter(r -> r.task.equals(task)).toList();
            for (int i = 0; i < runs.size(); i++) {
                Executor.Run run = runs.get(i);
                if (run.endedAt < 0) continue;
                long next = i + 1 < runs.size() ? runs.get(i + 1).beganAt : Record.now();
                boolean isLostHere = next - run.endedAt >= STANDING_MILLIS + LOST_MILLIS;
                Record.note("    " + run + "; without a run for " + (next - run.endedAt) + " ms"
                    + (isLostHere ? ": LOST" : ""));
                isLost |= isLostHere;
            }
        }
        return isLost;
    }

    private static int usedCpu(long now) {
        int used = 0;
        for (Executor.Run run : Executor.ALL_RUNS) {
            if (run.beganAt <= now && (run.endedAt < 0 || run.endedAt >= now)) used += run.cpu();
        }
        return used;
    }
}
