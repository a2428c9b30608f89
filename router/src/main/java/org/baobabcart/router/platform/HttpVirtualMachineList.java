package org.baobabcart.router.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String ENTRIES = "virtualMachines";
    private static final int MAX_PORT = 65_535;
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
        return Futures.toUni(() -> client.poll(address, address, settings.callTimeout()))
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
        CachedResponse latest = new CachedResponse(response.body(), parse(response.body(), previous.machines()));
        cached = latest;
        return latest.machines();
    }

    /** Returns the entries of a list. One that cannot be decoded is replaced by the last valid one of its name, if there is any. */
    private static List<VirtualMachine> parse(Buffer body, List<VirtualMachine> previous) {
        JsonSlice entries = JsonSlice.of(body.getBytes()).members().get(ENTRIES);
        if (entries == null) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "a list is missing")
                    .withLocation(ENTRIES);
        }
        List<VirtualMachine> machines = new ArrayList<>();
        for (JsonSlice entry : entries.elements()) {
            try {
                machines.add(requireComplete(MAPPER.convertValue(entry.parse(), VirtualMachine.class)));
            } catch (BaobabcartException | IllegalArgumentException fault) {
                String name = name(entry);
                LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "event=machine_entry_ignored name=%s cause=%s", name, fault.getMessage());
                previous.stream().filter(machine -> machine.name().equals(name)).forEach(machines::add);
            }
        }
        return List.copyOf(machines);
    }

    private static VirtualMachine requireComplete(VirtualMachine machine) {
        if (machine == null || machine.name() == null || machine.role() == null || machine.state() == null) {
            throw new IllegalArgumentException("name, role or state is missing");
        }
        String address = String.valueOf(machine.address());
        URI uri = URI.create(address.contains("://") ? address : "tcp://" + address);
        if (uri.getHost() == null || uri.getPort() > MAX_PORT) {
            throw new IllegalArgumentException("not an address: " + address);
        }
        return machine;
    }

    private static String name(JsonSlice entry) {
        try {
            JsonSlice name = entry.members().get("name");
            return name == null ? "" : name.parse().asText();
        } catch (BaobabcartException unreadable) {
            return "";
        }
    }
}
