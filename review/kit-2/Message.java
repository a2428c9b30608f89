import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP/1.1 message as read from a socket. Header values keep their bytes, as ISO 8859-1 text. */
final class Message {
    static final Charset BYTES = StandardCharsets.ISO_8859_1;

    final String head;
    byte[] body = new byte[0];
    /** Whether the end of the body was reached as its framing says. */
    boolean complete;

    private Message(String head) {
        this.head = head;
    }

    /** Reads the next message; returns null if the connection ends before its first byte. */
    static Message read(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null) {
            message.readBody(input);
        }
        return message;
    }

    static Message readHead(InputStream input) throws IOException {
        String head = readUntil(input, "\r\n\r\n");
        if (head.isEmpty()) {
            return null;
        }
        if (!head.endsWith("\r\n\r\n")) {
            throw new IOException("the connection ended inside a head");
        }
        return new Message(head);
    }

    private void readBody(InputStream input) throws IOException {
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            readChunks(input);
            return;
        }
        String length = header("Content-Length");
        int expected = length.isEmpty() ? 0 : Integer.parseInt(length);
        body = input.readNBytes(expected);
        complete = body.length == expected;
    }

    private void readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            while (true) {
                String line = readUntil(input, "\r\n");
                if (!line.endsWith("\r\n")) {
                    return;
                }
                int size = Integer.parseInt(line.strip(), 16);
                byte[] chunk = input.readNBytes(size);
                read.write(chunk);
                if (chunk.length < size || !readUntil(input, "\r\n").equals("\r\n")) {
                    return;
                }
                if (size == 0) {
                    complete = true;
                    return;
                }
            }
        } catch (IOException broken) {
            // What was read so far counts; the answer is not complete.
        } finally {
            body = read.toByteArray();
        }
    }

    private static String readUntil(InputStream input, String mark) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < mark.length() || !text.substring(text.length() - mark.length()).equals(mark)) {
            int next = input.read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    String firstLine() {
        return head.substring(0, head.indexOf("\r\n"));
    }

    /** Returns the status of an answer. */
    int status() {
        return Integer.parseInt(firstLine().split(" ")[1]);
    }

    /** Returns the path of a request. */
    String path() {
        return firstLine().split(" ")[1];
    }

    String header(String name) {
        String prefix = name.toLowerCase(Locale.ROOT) + ":";
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
                return line.substring(prefix.length()).strip();
            }
        }
        return "";
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
