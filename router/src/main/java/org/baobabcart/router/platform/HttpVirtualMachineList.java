package org.baobabcart.router.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.BoundedHttpClient;
import org.baobabcart.router.transport.BoundedResponse;

/** Client of the list of VMs over HTTP. Thread-safe; responses are delivered on an event loop. */
public final class HttpVirtualMachineList implements VirtualMachineList {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final TypeReference<List<VirtualMachine>> LIST = new TypeReference<>() {};

    private static final int STATUS_OK = 200;
    /** Enough for tens of thousands of VMs. */
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private final String address;
    private final PlatformSettings settings;
    private final BoundedHttpClient client;
    private volatile CachedResponse cached = new CachedResponse(Buffer.buffer(), List.of());

    /** Body of a response and the list parsed from it. */
    private record CachedResponse(Buffer body, List<VirtualMachine> machines) {}

    private HttpVirtualMachineList(Vertx vertx, URI address, PlatformSettings settings) {
        this.address = address.toString().replaceAll("/+$", "") + "/vms";
        this.settings = settings;
        int connectMillis = (int) settings.connectTimeout().toMillis();
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(connectMillis);
        this.client = BoundedHttpClient.create(
                vertx, settings.transport().toUpstreams(options), settings.maxConnections(), MAX_RESPONSE_BYTES);
    }

    /** Creates a client of the list at this address. */
    public static HttpVirtualMachineList create(Vertx vertx, URI address, PlatformSettings settings) {
        return new HttpVirtualMachineList(vertx, address, settings);
    }

    @Override
    public Uni<List<VirtualMachine>> read() {
        return Futures.toUni(() -> client.call(HttpMethod.GET, address, settings.callTimeout()))
                .map(this::machines)
                .onFailure()
                .transform(CallEffect.NONE::fromCause);
    }

    /**
     * Returns the list in a response. A response with the same body as the previous one is not parsed again and gives
     * the same list instance.
     */
    private List<VirtualMachine> machines(BoundedResponse response) {
        if (response.status() != STATUS_OK) {
            throw BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE, "list of VMs: status " + response.status());
        }
        CachedResponse previous = cached;
        if (previous.body().equals(response.body())) {
            return previous.machines();
        }
        CachedResponse latest = new CachedResponse(response.body(), parse(response.body()));
        cached = latest;
        return latest.machines();
    }

    private static List<VirtualMachine> parse(Buffer body) {
        try {
            return MAPPER.convertValue(MAPPER.readTree(body.getBytes()).path("virtualMachines"), LIST);
        } catch (IOException | IllegalArgumentException exception) {
            throw BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE, "malformed list of VMs")
                    .withCause(exception);
        }
    }
}
