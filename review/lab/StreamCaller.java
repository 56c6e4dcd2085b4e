import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A client with one stream that may be resumed. It repeats a few times within its time limit, each time on a new
 * channel through the balancer, waits as long as it is told to, and names its last event and the attempt that brought
 * the first one.
 */
final class StreamCaller implements Runnable {
    private static final long LIMIT_MILLISECONDS = 15_000;
    private static final int ALLOWED_MIXED = 2;
    private final Lab lab;
    private final String name;
    private final String request;
    private final long limitMilliseconds;
    private final int retries;
    private final List<Lab.Relay> relays;
    private final Random random = new Random();
    private volatile int lastEvent;
    private String firstAttempt;
    private Lab.Relay lastRelay;

    /** The software versions whose events the client got, in order. */
    final Set<String> versions = Collections.synchronizedSet(new LinkedHashSet<>());

    /** The numbers of the events that the client got. */
    final List<Integer> events = new ArrayList<>();

    /** The tries that a relay took. */
    final List<Try> tries = Collections.synchronizedList(new ArrayList<>());
    volatile boolean complete;
    volatile int refusals;

    StreamCaller(Lab lab, String name, String request, long limitMilliseconds, int retries, List<Lab.Relay> relays) {
        this.lab = lab;
        this.name = name;
        this.request = request;
        this.limitMilliseconds = limitMilliseconds;
        this.retries = retries;
        this.relays = relays;
    }

    /** One try: when it was sent, whether it takes the stream up again, and whether it brought events. */
    record Try(long at, boolean resumes, boolean broughtEvents) {}

    /** Begins `count` streams, one each `gap` milliseconds, by clients that retry at most `retries` times. */
    static List<StreamCaller> start(Lab lab, String prefix, int count, long gap, int retries, List<Lab.Relay> relays) throws InterruptedException {
        List<StreamCaller> callers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            StreamCaller caller = new StreamCaller(lab, prefix + number, Configurations.streamHead("/batch/manifest", number), LIMIT_MILLISECONDS, retries, relays);
            callers.add(caller);
            lab.threads.execute(caller);
            Lab.sleep(gap);
        }
        return callers;
    }

    /** Returns whether more than two streams hold events of two software versions. */
    static boolean isVersionRuleBroken(Lab lab, List<StreamCaller> callers) {
        long mixed = callers.stream().filter(caller -> caller.versions.size() > 1).count();
        long whole = callers.stream().filter(caller -> caller.complete).count();
        lab.log("streams: %d, complete: %d, with events of two software versions: %d", callers.size(), whole, mixed);
        return mixed > ALLOWED_MIXED;
    }

    int received() {
        return lastEvent;
    }

    @Override
    public void run() {
        long until = Lab.now() + limitMilliseconds;
        try {
            for (int tries = 0; tries <= retries && !complete && Lab.now() < until; tries++) {
                Socket channel = openChannel(until);
                if (channel == null) break;
                double wait = attempt(channel, name + "-" + tries, until);
                if (complete) break;
                double longest = (until - Lab.now()) / 3.0;
                Lab.sleep((long) Math.min(longest, wait >= 0 ? wait * 1_000 : 500));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        lab.log("caller %s ends: complete=%s events=%d versions=%s refusals=%d", name, complete, events.size(), versions, refusals);
    }

    private Lab.Relay choose() {
        List<Lab.Relay> candidates = new ArrayList<>(relays.stream().filter(relay -> relay.inRotation).toList());
        if (candidates.isEmpty()) candidates.addAll(relays);
        if (candidates.size() > 1) candidates.remove(lastRelay);
        lastRelay = candidates.get(random.nextInt(candidates.size()));
        return lastRelay;
    }

    /** Returns a new channel, null if no relay takes one in time. Clients don't try again all at the same moment. */
    private Socket openChannel(long until) throws InterruptedException {
        while (Lab.now() < until) {
            try {
                return Lab.connect(choose().callers, 1_000);
            } catch (IOException exception) {
                Lab.sleep(500 + random.nextInt(1_000));
            }
        }
        return null;
    }

    /** Returns the seconds after which the answer invites a repetition, negative if it says nothing of that. */
    private double attempt(Socket channel, String attempt, long until) {
        Lab.Relay relay = lastRelay;
        int before = lastEvent;
        long at = Lab.now();
        String resumed = lastEvent > 0 ? "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstAttempt + "\r\n" : "";
        try (channel) {
            channel.setSoTimeout((int) Math.max(1, until - Lab.now()));
            String head = request + "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + (until - Lab.now()) + "\r\n" + resumed + "Content-Length: " + name.length() + "\r\n\r\n" + name;
            lab.log("caller %s sends %s to %s, after event %d", name, attempt, relay.name, lastEvent);
            channel.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream input = new BufferedInputStream(channel.getInputStream());
            Lab.Message answer = Lab.Message.readHead(input);
            if (answer.status() != 200) {
                refusals++;
                lab.log("caller %s at %s: %s gets %s %s", name, relay.name, attempt, answer.first(), answer.headers());
                return Double.parseDouble(answer.header("retry-after", "-1"));
            }
            read(input, attempt);
            complete = true;
        } catch (IOException exception) {
            lab.log("caller %s at %s: %s ends after events %d to %d: %s", name, relay.name, attempt, before + 1, lastEvent, exception.getMessage());
        } finally {
            tries.add(new Try(at, before > 0, lastEvent > before));
        }
        return -1;
    }

    private void read(InputStream input, String attempt) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(Lab.Message.line(input), 16);
            byte[] chunk = input.readNBytes(size);
            if (chunk.length < size) throw new IOException("closed within a chunk");
            Lab.Message.line(input);
            if (size == 0) return;
            text.append(new String(chunk, StandardCharsets.UTF_8));
            for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                take(text.substring(0, end), attempt);
                text.delete(0, end + 2);
            }
        }
    }

    private void take(String event, String attempt) {
        String[] lines = event.split("\n");
        int number = Integer.parseInt(lines[0].substring("id: ".length()));
        String version = lines[1].split(" ")[1];
        if (firstAttempt == null) firstAttempt = attempt;
        if (versions.add(version)) lab.log("caller %s: %s brings event %d of version %s", name, attempt, number, version);
        events.add(number);
        lastEvent = number;
    }
}
