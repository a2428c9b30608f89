package org.baobabcart.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/** Changes an engine's entry of the list of VMs when it serves another version. Confined to the event loop. */
final class MachineListReporter {
    private final HttpClient client;
    private final String address;
    private final String name;

    private MachineListReporter(HttpClient client, String address, String name) {
        this.client = client;
        this.address = address;
        this.name = name;
    }

    /** A report to the list at an address; an empty address reports nothing. */
    static MachineListReporter create(Vertx vertx, String address, String name) {
        return new MachineListReporter(vertx.createHttpClient(), address, name);
    }

    /** Reports what the engine serves now. */
    void serves(String model, String version) {
        if (!address.isEmpty()) {
            call(HttpMethod.GET, "/vms", Buffer.buffer())
                    .compose(HttpClientResponse::body)
                    .onSuccess(list -> change(list.toJsonObject(), model, version));
        }
    }

    private void change(JsonObject list, String model, String version) {
        list.getJsonArray("virtualMachines").stream()
                .map(JsonObject.class::cast)
                .filter(entry -> entry.getString("name").equals(name))
                .forEach(entry -> {
                    JsonObject changed = entry.copy().put("model", model).put("version", version);
                    call(HttpMethod.PUT, "/vms/" + name, changed.toBuffer());
                });
    }

    private Future<HttpClientResponse> call(HttpMethod method, String path, Buffer body) {
        RequestOptions options = new RequestOptions().setMethod(method).setAbsoluteURI(address + path);
        return client.request(options).compose(request -> request.send(body));
    }
}
