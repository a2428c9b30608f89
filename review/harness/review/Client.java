package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's requests. */
public final class Client {
    private Client() {}

    public static byte[] request(String method, String path, String id, String headers, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
                + "\r\nX-Api-Key: keyofshop\r\n" + headers
                + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        return all;
    }

    /** Sends one request on a new connection; null if the connection ends without an answer. */
    public static Http.Message call(Router router, int timeoutMillis, byte[] request) {
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request);
            return Http.read(socket.getInputStream());
        } catch (IOException failed) {
            return null;
        }
    }
}
