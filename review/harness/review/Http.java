package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 on plain sockets. */
public final class Http {
    private Http() {}

    /** A request or response; complete is false if its connection ended inside the body. */
    public record Message(String start, String head, byte[] body, boolean complete) {
        public String header(String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).strip();
                }
            }
            return "";
        }

        /** Returns the status of a response. */
        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a message; null if the connection ends before its head is complete. */
    public static Message read(InputStream input) throws IOException {
        String head = readHead(input);
        if (head == null) {
            return null;
        }
        String start = head.substring(0, head.indexOf("\r\n"));
        Message bare = new Message(start, head, new byte[0], true);
        if (bare.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(input);
                if (size == null || size.isEmpty()) {
                    return new Message(start, head, body.toByteArray(), false);
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] part = input.readNBytes(length);
                body.write(part);
                if (part.length < length || readLine(input) == null) {
                    return new Message(start, head, body.toByteArray(), false);
                }
                if (length == 0) {
                    return new Message(start, head, body.toByteArray(), true);
                }
            }
        }
        String length = bare.header("Content-Length");
        int bytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        byte[] body = input.readNBytes(bytes);
        return new Message(start, head, body, body.length == bytes);
    }

    /** Reads a head, with its empty line; null if the connection ends first. */
    public static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        String line;
        while ((line = readLine(input)) != null) {
            head.append(line).append("\r\n");
            if (line.isEmpty()) {
                return head.toString();
            }
        }
        return null;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = input.read()) >= 0) {
            if (next == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            line.append((char) next);
        }
        return null;
    }

    public static void answer(Socket socket, int status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }
}
