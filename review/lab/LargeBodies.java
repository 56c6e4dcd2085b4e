import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers of one relay send long prompts, within the limits of the configuration, at a steady rate. For a few seconds
 * they send them more often. Meanwhile other callers post small requests, each on a channel that it keeps.
 */
final class LargeBodies {
    private static final int BODY_BYTES = Integer.getInteger("bytes", 4_000_000);
    private static final double USUAL_PER_SECOND = Double.parseDouble(System.getProperty("rate", "6"));
    private static final double BURST_FACTOR = Double.parseDouble(System.getProperty("factor", "2.4"));

    /** Clients abandon a stream after a gap of four times the objective, 6 s, and so not before their limit. */
    private static final int STREAM_LIMIT = 15_000;

    /** As the operator sets it; the clients' own limit is longer. */
    private static final int POST_TIMEOUT = 400;
    private static final int POST_LIMIT = 1_000;
    private static final long BEGIN = 5_000;
    private static final long BURST_BEGINS = 15_000;
    private static final long BURST_ENDS = 19_500;
    private static final long COUNTED_FROM = BURST_ENDS + 5_000;
    private static final long END = 40_000;
    private static final long POSTS_END = 60_000;
    private static final int POSTING_CALLERS = 6;
    private static final byte[] BODY = new byte[BODY_BYTES];
    private static final Tally STREAMS = new Tally();
    private static final Tally POSTS = new Tally();

    private LargeBodies() {}

    public static void main(String[] arguments) {
        Lab.play(arguments, LargeBodies::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        java.util.Arrays.fill(BODY, (byte) 'a');
        String credit = "\"timeout_ms\":5000,\"goal_ms\":1000";
        lab.store.put("keyed.op", "config", Configurations.of(7).replace(credit, "\"timeout_ms\":" + POST_TIMEOUT + ",\"goal_ms\":100"));
        for (int number = 0; number < 3; number++) {
            Lab.Server model = new Lab.Server(lab, "i-model-" + number, "taru-model", "v1", Configurations.MODEL, 64);
            model.events = 13;
            model.eventMilliseconds = 150;
            model.register();
            new Lab.Server(lab, "i-ledger-" + number, "deposit-ledger", "v1", "", 6).register();
        }
        Lab.Relay relay = lab.relay("edge-1", "hakata");
        relay.start();
        relay.awaitReady();
        lab.threads.execute(() -> probe(lab, relay));
        for (int number = 0; number < POSTING_CALLERS; number++) {
            String name = "p" + number;
            lab.threads.execute(() -> post(lab, relay, name));
        }
        ConcurrentLinkedDeque<Socket> idle = new ConcurrentLinkedDeque<>();
        double due = BEGIN;
        for (int number = 0; due < END; number++) {
            Lab.sleep((long) due - Lab.now());
            String attempt = "s" + number;
            String head = Configurations.streamHead("/batch/manifest", number);
            lab.threads.execute(() -> STREAMS.call(lab, relay, attempt, idle, STREAM_LIMIT, STREAM_LIMIT, head, body(attempt)));
            boolean more = trouble && due >= BURST_BEGINS && due < BURST_ENDS;
            due += 1_000 / (USUAL_PER_SECOND * (more ? BURST_FACTOR : 1));
        }
        Lab.sleep(POSTS_END + POST_LIMIT + 1_000 - Lab.now());
        lab.log("streams: %s", STREAMS);
        lab.log("posts: %s", POSTS);
        lab.log("the relay is alive: %s, ready: %s", relay.isAlive(), relay.isReady());
        if (!trouble && POSTS.sent.get() > POSTS.served.get()) throw new Lab.NotPlayed("requests fail without the burst");
        return POSTS.isBroken();
    }

    private static byte[] body(String attempt) {
        byte[] body = BODY.clone();
        System.arraycopy(attempt.getBytes(StandardCharsets.US_ASCII), 0, body, 0, attempt.length());
        return body;
    }

    private static void probe(Lab lab, Lab.Relay relay) {
        try {
            for (boolean before = true; ; Lab.sleep(1_000)) {
                boolean ready = relay.isReady();
                if (ready != before) lab.log("the relay is ready: %s", ready);
                before = ready;
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void post(Lab lab, Lab.Relay relay, String name) {
        ConcurrentLinkedDeque<Socket> idle = new ConcurrentLinkedDeque<>();
        String head = "POST /credit/" + name + " HTTP/1.1\r\nHost: " + Configurations.HOST + "\r\n";
        try {
            for (int number = 0; Lab.now() < POSTS_END; number++) {
                String attempt = name + "-" + number;
                POSTS.call(lab, relay, attempt, idle, POST_LIMIT, POST_LIMIT, head, attempt.getBytes(StandardCharsets.US_ASCII));
                Lab.sleep(200);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** What callers saw of one kind of request. */
    static final class Tally {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();
        private final AtomicInteger atTimeout = new AtomicInteger();
        private final AtomicInteger afterTimeout = new AtomicInteger();
        private final AtomicInteger closed = new AtomicInteger();
        private final AtomicInteger brokenOff = new AtomicInteger();
        private final AtomicInteger gone = new AtomicInteger();

        /**
         * Sends one request on an idle channel, or on a new one, and reads its answer. The client leaves at its time
         * limit, or after a gap in which nothing comes.
         */
        void call(Lab lab, Lab.Relay relay, String attempt, ConcurrentLinkedDeque<Socket> idle, int limit, int gap, String head, byte[] body) {
            Socket channel = idle.pollLast();
            String kind = channel == null ? "new" : "kept";
            AtomicLong sentAt = new AtomicLong(Lab.now());
            AtomicLong progressAt = new AtomicLong(Lab.now());
            AtomicBoolean ended = new AtomicBoolean();
            AtomicBoolean left = new AtomicBoolean();
            String seen = "no answer";
            try {
                if (channel == null) channel = Lab.connect(relay.callers, 1_000);
                Socket watched = channel;
                lab.threads.execute(() -> leaveInTime(watched, limit, gap, progressAt, ended, left));
                String fields = "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + limit + "\r\nContent-Length: " + body.length + "\r\n\r\n";
                channel.getOutputStream().write((head + fields).getBytes(StandardCharsets.US_ASCII));
                channel.getOutputStream().write(body);
                sent.incrementAndGet();
                sentAt.set(Lab.now());
                progressAt.set(Lab.now());
                lab.log("caller of %s has sent %d bytes", attempt, body.length);
                InputStream input = new BufferedInputStream(channel.getInputStream());
                Lab.Message answer = Lab.Message.readHead(input);
                seen = answer.first();
                readBody(input, answer, progressAt);
                (answer.status() == 200 ? served : answer.status() == 503 ? refused : failed).incrementAndGet();
                count(sentAt.get());
                if (answer.header("connection", "").equals("close")) Lab.closeQuietly(channel); else idle.addLast(channel);
            } catch (IOException exception) {
                if (left.get()) {
                    count(sentAt.get());
                    gone.incrementAndGet();
                    seen += ", the client leaves";
                } else {
                    (seen.equals("no answer") ? closed : brokenOff).incrementAndGet();
                    seen += ", then " + exception.getMessage();
                }
                if (channel != null) Lab.closeQuietly(channel);
            } finally {
                ended.set(true);
            }
            lab.log("caller of %s on a %s channel, after %d ms: %s", attempt, kind, Lab.now() - sentAt.get(), seen);
        }

        /** Counts a request that ends now, if it was sent late enough and was unanswered at its route's timeout. */
        private void count(long sentAt) {
            long lasted = Lab.now() - sentAt;
            if (sentAt <= COUNTED_FROM || lasted <= POST_TIMEOUT) return;
            atTimeout.incrementAndGet();
            if (lasted > POST_TIMEOUT + 500) afterTimeout.incrementAndGet();
        }

        /** Closes the channel at the time limit, or after the gap. */
        private static void leaveInTime(Socket channel, int limit, int gap, AtomicLong progressAt, AtomicBoolean ended, AtomicBoolean left) {
            long until = Lab.now() + limit;
            try {
                while (!ended.get() && Lab.now() < until && Lab.now() - progressAt.get() < gap) Lab.sleep(20);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            if (ended.get()) return;
            left.set(true);
            Lab.closeQuietly(channel);
        }

        private static void readBody(InputStream input, Lab.Message answer, AtomicLong progressAt) throws IOException {
            if (!answer.header("transfer-encoding", "").equals("chunked")) {
                input.readNBytes(Integer.parseInt(answer.header("content-length", "0")));
                return;
            }
            while (true) {
                int size = Integer.parseInt(Lab.Message.line(input), 16);
                if (input.readNBytes(size).length < size) throw new IOException("closed within a chunk");
                Lab.Message.line(input);
                if (size == 0) return;
                progressAt.set(Lab.now());
            }
        }

        /** Whether eight requests or more, and over half of those unanswered at their timeout, have no answer 0.5 s later. */
        boolean isBroken() {
            return afterTimeout.get() >= 8 && afterTimeout.get() * 2 > atTimeout.get();
        }

        @Override
        public String toString() {
            return "sent " + sent + ", served " + served + ", refused " + refused + ", other answers " + failed + ", of those sent 5 s after the burst or later unfinished at the timeout " + atTimeout
                + ", 0.5 s later " + afterTimeout + ", closed without an answer " + closed + ", broken off " + brokenOff + ", left by the client " + gone;
        }
    }
}
