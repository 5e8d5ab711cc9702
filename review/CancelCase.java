import java.util.List;
import java.util.Map;

/**
 * A leader freezes for 4 s and is replaced. A job is accepted by its successor meanwhile. Its caller cancels it over a
 * connection to the frozen entry that was open before; the entry answers when it wakes.
 */
final class CancelCase implements Review.Case {
    private static final long FREEZE_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 200;

    @Override
    public boolean isBroken(boolean hasTrouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 4, 32_000)) {
            deployment.awaitReady();
            Executor.sleep(4_000);
            int first = deployment.leader();
            String firstName = deployment.entries.get(first);
            Http.Connection open = new Http.Connection(deployment.frontend(first));
            open.send("GET", Deployment.PREFIX, Deployment.HOST, Map.of("X-Deadline-Ms", "3000"), "");
            Record.note("client: an open connection to " + firstName + ", GET answered " + open.receive(3_000).status());

            long frozenAt = Record.now();
            if (hasTrouble) deployment.signal(firstName, "STOP");
            Executor.sleep(2_300);
            int other = (first + 1) % 3;
            String id = "5c0e7a21d94b36f8";
            String body = Caller.job("5500 1000", List.of(
                Caller.step(2, 1_000, 5_500), Caller.step(2, 1_000, 5_500, "depends-on", List.of(0))));
            int submitted = 0;
            for (int attempt = 0; submitted != 200 && attempt < 4; attempt++) {
                int entry = (other + attempt) % 3;
                if (hasTrouble && entry == first) continue;
                submitted = Caller.call(deployment.entries.get(entry), deployment.frontend(entry), "POST", id, body);
                if (submitted != 200) Executor.sleep(200);
            }
            if (submitted != 200) throw new IllegalStateException("the job was not accepted");
            Executor.sleep(Math.max(0, frozenAt + FREEZE_MILLIS - 800 - Record.now()));
            Record.note("client: sends DELETE " + Deployment.PREFIX + id + " over its open connection to " + firstName);
            open.send("DELETE", Deployment.PREFIX + id, Deployment.HOST, Map.of("X-Deadline-Ms", "3000"), "");
            long sentAt = Record.now();
            if (hasTrouble) {
                Executor.sleep(Math.max(0, frozenAt + FREEZE_MILLIS - Record.now()));
                deployment.signal(firstName, "CONT");
            }
            int status = open.receive((int) (sentAt + Caller.DEADLINE_MILLIS - Record.now())).status();
            long answeredAt = Record.now();
            Record.note("client: the DELETE is answered " + status);
            if (status != 200 && status != 410) throw new IllegalStateException("the cancel was not acknowledged");
            Executor.sleep(12_000);
            Caller.call(deployment.entries.get(other), deployment.frontend(other), "GET", id, "");
            Record.note("the cancel was acknowledged at " + answeredAt + " ms; runs of the job:");
            boolean isBroken = false;
            for (Executor.Run run : Executor.ALL_RUNS) {
                boolean startsLate = run.beganAt > answeredAt + CANCEL_MILLIS;
                boolean runsOn = run.endedAt < 0 || run.endedAt > answeredAt + CANCEL_MILLIS + STOP_MILLIS;
                Record.note("    " + run + (startsLate ? ": STARTS LATER THAN cancel_ms" : runsOn ? ": RUNS ON" : ""));
                isBroken |= startsLate;
            }
            return isBroken;
        }
    }
}
