import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the relays as processes with the deploy file's command, and their end. */
final class Rig {
    /** Exit statuses of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long STARTED = System.nanoTime();
    private static final List<Relay> RELAYS = new ArrayList<>();
    private static PrintWriter record;
    private static Path work;

    private Rig() {}

    /** A case; returns its exit status. */
    interface Case {
        int run() throws Exception;
    }

    /** Runs a case and ends the process and all relays. The first argument is the case's folder. */
    static void main(String[] arguments, Case body) {
        int status;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true);
            work = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
            status = body.run();
        } catch (Exception | Error failure) {
            failure.printStackTrace();
            if (record == null) System.exit(COULD_NOT_RUN);
            note("the case could not run: " + failure);
            status = COULD_NOT_RUN;
        }
        String result = status == HELD ? "the rule held" : status == BROKEN ? "THE RULE WAS BROKEN" : "could not run";
        note("trouble=" + TROUBLE + " result: " + result);
        System.out.println(result);
        System.exit(status);
    }

    private static void endAll() {
        RELAYS.forEach(Relay::kill);
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + work);
            return;
        }
        try (Stream<Path> files = Files.walk(work)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException exception) {
            System.err.println("files are left: " + exception);
        }
    }

    static double seconds() {
        return (System.nanoTime() - STARTED) / 1e9;
    }

    static synchronized void note(String line) {
        record.printf("%8.3f  %s%n", seconds(), line);
    }

    static Thread daemonThread(Runnable body) {
        Thread thread = new Thread(null, body, "case", 262_144);
        thread.setDaemon(true);
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            // Below the ports that the system gives to outgoing connections, as these could take it meanwhile.
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException exception) {
                // Another process has it.
            }
        }
        throw new IOException("no free port");
    }

    /** A relay as a process. */
    static final class Relay {
        final String name;
        final String callers;
        private final String readiness;
        private final Path settings;
        private volatile Process process;

        private Relay(String name, String callers, String readiness, Path settings) {
            this.name = name;
            this.callers = callers;
            this.readiness = readiness;
            this.settings = settings;
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow()
                .replaceFirst("run = \"", "").replaceFirst("\"$", "")
                .replace("/etc/plantainturn/settings.json", settings.toString());
            ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(Arrays.asList(run.split(" "))));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
            process = builder.start();
            note("relay " + name + " starts");
        }

        boolean isReady() {
            try (Http connection = Http.connect(readiness, 500)) {
                Http.Message answer = connection.call("GET", readiness, "/api/readyz", "probe", "", new byte[0], 1_000);
                return answer != null && answer.status() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        /** Returns the exit status of the process, which has ended. */
        int exitStatus() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        /** Sends SIGKILL and waits for the end. */
        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        /** Sends SIGTERM and waits for the end, for the time to stop at most; then sends SIGKILL. */
        void terminate() {
            process.destroy();
            try {
                if (!process.waitFor(8, TimeUnit.SECONDS)) kill();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        Path log() {
            return work.resolve(name + ".log");
        }
    }

    /** Returns a relay that is not started, with the settings that the platform would write for it. */
    static Relay relay(String name, String zone, String store) throws IOException {
        String peers = "127.0.0.1:" + freePort();
        return relay(name, zone, store, peers, peers);
    }

    /** The same, where other relays reach its address for [peers] at [advertised]. */
    static Relay relay(String name, String zone, String store, String peers, String advertised) throws IOException {
        String callers = "127.0.0.1:" + freePort();
        String readiness = "127.0.0.1:" + freePort();
        Path settings = work.resolve(name + ".json");
        Files.writeString(settings, """
            {"node": "%s", "failureDomain": "%s", "callers": "%s", "readiness": "%s", "peers": "%s",
             "advertisedPeers": "%s", "store": "%s", "stopSeconds": 8.0, "drainMilliseconds": 2000, "handOverMilliseconds": 300,
             "enginesRefuseOldFences": true, "processorShare": 0.75, "linkMegabits": 1000.0, "repetitionRatio": 0.2,
             "repetitionsFixed": 56, "repetitionWindowSeconds": 10, "loadWindowSeconds": 5}
            """.formatted(name, zone, callers, readiness, peers, advertised, store));
        Relay relay = new Relay(name, callers, readiness, settings);
        RELAYS.add(relay);
        return relay;
    }

    /** Waits until all relays are ready; throws if they are not within 30 s. */
    static void awaitReady(List<Relay> relays) throws IOException {
        for (Relay relay : relays) {
            for (int tries = 0; !relay.isReady(); tries++) {
                if (tries > 300) throw new IOException("relay " + relay.name + " is not ready");
                sleep(100);
            }
        }
        note("all relays are ready");
    }
}
