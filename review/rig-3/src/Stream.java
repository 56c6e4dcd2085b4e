import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One client's stream over all its tries: it is taken up again at another relay after a broken channel. */
final class Stream {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+)\n\n");
    private static final int TIMEOUT = 15_000;
    private final Rig rig;
    final String name;
    private final int events;

    /** The software versions whose events the client has received. */
    final Set<String> versions = new LinkedHashSet<>();
    /** The numbers of the events in the order of their arrival. */
    final List<Integer> numbers = new ArrayList<>();
    final List<String> tries = new CopyOnWriteArrayList<>();
    volatile boolean complete;

    /** Milliseconds that the last answer told the client to wait. */
    volatile long retryAfter;
    private String firstAttempt;
    private int attempts;

    Stream(Rig rig, String name, int events) {
        this.rig = rig;
        this.name = name;
        this.events = events;
    }

    int lastEvent() {
        return numbers.isEmpty() ? 0 : numbers.get(numbers.size() - 1);
    }

    boolean hasBegun() {
        return !numbers.isEmpty();
    }

    /** Makes one try at [relay], and returns whether an event came in it. */
    boolean attempt(Rig.Relay relay, String model) {
        String identifier = name + "-" + attempts++;
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "llm.example");
        headers.put("Attempt-Id", identifier);
        headers.put("Model", model);
        headers.put("Token-Usage", "100,200");
        headers.put("Prompt-Prefix", "aa01:60,bb" + Integer.toHexString(name.hashCode()) + ":40");
        headers.put("Deadline-Ms", "15000");
        if (hasBegun()) {
            headers.put("Last-Event-Id", Integer.toString(lastEvent()));
            headers.put("Resumes", firstAttempt);
        }
        int before = numbers.size();
        String outcome;
        rig.note("send " + identifier + " to " + relay.name + " after=" + lastEvent());
        try (Rig.Client client = new Rig.Client(relay.callers)) {
            client.send("POST", "/batch/x", headers, "prompt".getBytes(StandardCharsets.UTF_8));
            Rig.Message head = client.head(TIMEOUT);
            outcome = "status " + head.status + " Retry-After=" + head.header("Retry-After") + " code="
                + head.header("X-Result-Code");
            String wait = head.header("Retry-After");
            retryAfter = wait == null ? 0 : Math.round(Double.parseDouble(wait) * 1_000);
            if (head.status == 200) {
                StringBuilder text = new StringBuilder();
                for (byte[] chunk = client.chunk(); chunk != null; chunk = client.chunk()) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                    take(text, identifier);
                }
                complete = lastEvent() == events;
                outcome = complete ? "complete" : "ended as complete after " + lastEvent();
            }
        } catch (IOException exception) {
            outcome = "broken: " + exception;
        }
        tries.add(relay.name + ": " + outcome);
        rig.note("end " + identifier + " from " + relay.name + " events=" + before + ".." + numbers.size()
            + " versions=" + versions + " " + outcome);
        return numbers.size() > before;
    }

    private void take(StringBuilder text, String identifier) {
        Matcher matcher = EVENT.matcher(text);
        int end = 0;
        while (matcher.find()) {
            if (numbers.isEmpty()) firstAttempt = identifier;
            numbers.add(Integer.parseInt(matcher.group(1)));
            if (versions.add(matcher.group(3))) {
                rig.note("event " + matcher.group(1) + " of " + identifier + " from " + matcher.group(2) + " "
                    + matcher.group(3));
            }
            end = matcher.end();
        }
        text.delete(0, end);
    }
}
