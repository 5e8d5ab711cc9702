import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A client of the system. */
final class Caller {
    static final int DEADLINE_MILLIS = 3_000;

    private Caller() {
    }

    static Map<String, Object> step(int count, int cpu, long estimatedMillis, Object... more) {
        Map<String, Object> step = Json.map("count", count, "cpu", cpu, "mem-mb", 256);
        if (estimatedMillis > 0) step.put("estimated-ms", estimatedMillis);
        step.putAll(Json.map(more));
        return step;
    }

    static String job(String spec, List<?> steps) {
        return Json.write(Json.map("spec", spec, "phases", steps));
    }

    /** Makes one call and notes it. Returns the status, or 0 without an answer. */
    static int call(String where, String address, String method, String id, String body) {
        String what = method + " " + Deployment.PREFIX + id + " at " + where;
        String shown = body.isEmpty() ? "" : body.length() < 400 ? ", " + body : ", " + body.length() + " bytes";
        Record.note("client: sends " + what + shown);
        try {
            Http.Response response =
                Http.call(address, method, Deployment.PREFIX + id, Deployment.HOST, body, DEADLINE_MILLIS);
            Record.note("client: " + what + " is answered " + response.status() + " " + response.text());
            return response.status();
        } catch (IOException cause) {
            Record.note("client: " + what + " gets no answer: " + cause.getMessage());
            return 0;
        }
    }
}
