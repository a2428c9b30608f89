package org.baobabcart.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/** Updates an engine's entry in the list of VMs when the engine serves another version. Confined to the event loop. */
final class MachineListReporter {
    private final HttpClient client;
    private final String address;
    private final String name;

    private MachineListReporter(HttpClient client, String address, String name) {
        this.client = client;
        this.address = address;
        this.name = name;
    }

    /** Creates a reporter to the list at an address. With an empty address it reports nothing. */
    static MachineListReporter create(Vertx vertx, String address, String name) {
        return new MachineListReporter(vertx.createHttpClient(), address, name);
    }

    /** Reports the model and version that the engine now serves. */
    void reportServedVersion(String model, String version) {
        if (!address.isEmpty()) {
            send(HttpMethod.GET, "/vms", Buffer.buffer())
                    .compose(HttpClientResponse::body)
                    .onSuccess(list -> update(list.toJsonObject(), model, version));
        }
    }

    private void update(JsonObject list, String model, String version) {
        list.getJsonArray("virtualMachines").stream()
                .map(JsonObject.class::cast)
                .filter(entry -> entry.getString("name").equals(name))
                .forEach(entry -> {
                    JsonObject updated = entry.copy().put("model", model).put("version", version);
                    send(HttpMethod.PUT, "/vms/" + name, updated.toBuffer());
                });
    }

    private Future<HttpClientResponse> send(HttpMethod method, String path, Buffer body) {
        RequestOptions options = new RequestOptions().setMethod(method).setAbsoluteURI(address + path);
        return client.request(options).compose(request -> request.send(body));
    }
}
