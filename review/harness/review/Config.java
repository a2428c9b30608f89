package review;

/** A configuration of the operator, in the form that PROTOCOL.md and the wire examples give. */
public final class Config {
    private Config() {}

    public static String of(int version) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("book", "/book/", "non_idempotent", 1500, 150, "desk", 1, "")
                + "," + route("read", "/read/", "idempotent", 1500, 150, "desk", 3, "")
                + "," + route("draft", "/draft/", "streaming", 25000, 1500, "desk", 3, ",\"streamResumption\":true,\"gapTargetMs\":1200")
                + "],\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":370,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"shop\",\"apiKeys\":[\"keyofshop\"],\"priority\":1}]}";
    }

    public static String route(
            String name, String prefix, String kind, int timeout, int target, String service, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"pathPrefix\":\"" + prefix + "\",\"routeKind\":\"" + kind
                + "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + target + ",\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":" + attempts + ",\"anonymous\":false,\"sessionAffinity\":false" + more + "}";
    }
}
