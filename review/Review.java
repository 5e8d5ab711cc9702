import java.nio.file.Path;
import java.util.Map;

/** Runs one case: Review CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Review {
    /** A case. Returns true if its rule was broken. */
    interface Case {
        boolean isBroken(boolean hasTrouble) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
        "cancel", new CancelCase(),
        "foreign", new ForeignHeartbeatCase(),
        "spread", new SpreadJobCase(),
        "waiting", new WaitingTaskCase(),
        "wide", new WideJobCase());

    private Review() {
    }

    public static void main(String[] arguments) {
        Record.open(Path.of(arguments[1], "record.txt"));
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record.note("case " + arguments[0] + (hasTrouble ? "" : ", without the disruption"));
        Http.thread("limit", () -> {
            Executor.sleep(110_000);
            Record.note("the case did not end in 110 s");
            System.exit(2);
        });
        int code;
        try {
            boolean isBroken = CASES.get(arguments[0]).isBroken(hasTrouble);
            Record.note(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            code = isBroken ? 1 : 0;
        } catch (Throwable cause) {
            Record.note("RESULT: the case could not run: " + cause);
            cause.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
