import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 connection, used by both the clients and the servers of a case. */
final class Http implements AutoCloseable {
    final Socket socket;
    private final InputStream input;

    Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream(), 65_536);
    }

    static Http connect(String address, int timeoutMilliseconds) throws IOException {
        Socket socket = new Socket();
        String[] parts = address.split(":");
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMilliseconds);
        return new Http(socket);
    }

    /** The first line, the headers by lower-case name, and the body. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a head, without its body; returns null at the end of the connection. */
    Message readHead() throws IOException {
        Message message = new Message();
        message.firstLine = line();
        if (message.firstLine == null) return null;
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; returns null at the end of the connection. */
    Message read() throws IOException {
        Message message = readHead();
        if (message != null) message.body = readBody(message);
        return message;
    }

    byte[] readBody(Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = size(); size > 0; size = size()) {
                body.write(exactly(size));
                line();
            }
            line();
            return body.toByteArray();
        }
        String length = message.header("Content-Length");
        return length == null ? new byte[0] : exactly(Integer.parseInt(length));
    }

    /** Reads one chunk of a body; returns null after the last one. */
    String readChunk() throws IOException {
        int size = size();
        String chunk = new String(exactly(size), StandardCharsets.UTF_8);
        line();
        return size == 0 ? null : chunk;
    }

    private int size() throws IOException {
        String line = line();
        if (line == null) throw new EOFException("the connection ended before the last chunk");
        return Integer.parseInt(line.trim(), 16);
    }

    private byte[] exactly(int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the connection ended within a body");
        return bytes;
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.UTF_8);
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    void write(String head, byte[] body) throws IOException {
        byte[] headBytes = head.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(headBytes.length + body.length);
        bytes.write(headBytes);
        bytes.write(body);
        socket.getOutputStream().write(bytes.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Sends a request with [attempt] as its id and returns the answer, null if the connection ended before it. */
    Message call(String method, String host, String path, String attempt, String headers, byte[] body, int milliseconds)
        throws IOException {
        return call(method, host, path, attempt, headers, body, milliseconds, milliseconds);
    }

    /** The same, with a time limit of [milliseconds] and [patience], after which the caller leaves. */
    Message call(String method, String host, String path, String attempt, String headers, byte[] body, int milliseconds,
        int patience) throws IOException {
        socket.setSoTimeout(patience);
        write(method + " " + path + " HTTP/1.1\nHost: " + host + "\nAttempt-Id: " + attempt + "\nDeadline-Ms: "
            + milliseconds + "\n" + headers + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length
            + "\n" : "") + "\n", body);
        return read();
    }

    /** Ends the connection with a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException exception) {
            close();
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            Rig.note("close failed: " + exception);
        }
    }
}
