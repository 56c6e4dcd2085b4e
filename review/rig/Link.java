import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy in front of one address. Its open connections can go silent, without a reset, while new ones work. */
final class Link {
    private final ServerSocket listener;
    private final int target;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

    Link(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Rig.daemonThread(this::accept).start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** From now on, what either side sends on a connection that is open now is lost, its end too. */
    int silenceOpen() {
        pairs.forEach(pair -> pair.silent = true);
        return pairs.size();
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Rig.daemonThread(() -> forward(near)).start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void forward(Socket near) {
        try {
            Socket far = new Socket();
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Pair pair = new Pair(near, far);
            pairs.add(pair);
            Rig.daemonThread(() -> pair.pump(far, near)).start();
            pair.pump(near, far);
            pairs.remove(pair);
        } catch (IOException exception) {
            reset(near);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException exception) {
            Rig.note("a connection did not close: " + exception);
        }
    }

    /** A connection and the one behind it. */
    private static final class Pair {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream().read(buffer)) {
                    if (!silent) to.getOutputStream().write(buffer, 0, count);
                }
                if (!silent) to.shutdownOutput();
            } catch (IOException exception) {
                if (silent) return;
                reset(near);
                reset(far);
            }
        }
    }
}
