package org.baobabcart.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts flag values into load settings and rejects invalid values. */
final class LoadSettingsParser {
    private static final double MAX_RATE = 100_000;
    private static final double MAX_SECONDS = 3_600;
    private static final double MAX_REQUESTS = 1_000_000;
    private static final double MAX_TOKENS = 10_000;
    private static final double MAX_RETRIES = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, String> values;

    private LoadSettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Parses flag values, keyed by {@link LoadFlags#key()}. */
    static LoadSettings parse(Map<String, String> values) {
        return new LoadSettingsParser(values).settings();
    }

    private LoadSettings settings() {
        Duration duration = seconds(LoadFlags.SECONDS);
        boolean stream = Boolean.parseBoolean(LoadFlags.STREAM.valueIn(values).orElse("true"));
        return base(LoadFlags.MODEL.valueIn(values).orElseThrow())
                .withRate(shape(), LoadFlags.RATE.number(values, 0.01, MAX_RATE), duration)
                .withMostRequests((int) LoadFlags.MOST_REQUESTS.number(values, 1, MAX_REQUESTS))
                .withResponses(stream, (int) LoadFlags.TOKENS.number(values, 1, MAX_TOKENS))
                .withRanks(ranks())
                .withRetriesAndTimeout(
                        (int) LoadFlags.RETRIES.number(values, 0, MAX_RETRIES), seconds(LoadFlags.TIMEOUT_SECONDS))
                .withSeed((long) LoadFlags.SEED.number(values, 0, Long.MAX_VALUE));
    }

    private Duration seconds(LoadFlags flag) {
        return Duration.ofMillis((long) (1_000 * flag.number(values, 0.1, MAX_SECONDS)));
    }

    private LoadSettings base(String model) {
        if (LoadFlags.DESCRIBE.valueIn(values).isPresent()) {
            return fromDescription(LoadFlags.DESCRIBE.valueIn(values).get(), model);
        }
        String targets = LoadFlags.TARGETS
                .valueIn(values)
                .orElseThrow(() -> LoadFlags.TARGETS.invalidValue("", "addresses, or --describe FILE instead"));
        String key = LoadFlags.KEY.valueIn(values).orElse("");
        return LoadSettings.of(
                Arrays.asList(targets.split(",")), List.of(new LoadWorkspace("workspace", key, 1)), model);
    }

    private static LoadSettings fromDescription(String file, String model) {
        try {
            JsonNode description = MAPPER.readTree(Files.readString(Path.of(file)));
            List<String> targets = new ArrayList<>();
            description
                    .path("routers")
                    .forEach(router -> targets.add(router.path("caller").asText()));
            List<LoadWorkspace> workspaces = new ArrayList<>();
            description
                    .path("workspaces")
                    .forEach(entry -> workspaces.add(new LoadWorkspace(
                            entry.path("name").asText(), entry.path("key").asText(), 1)));
            if (targets.isEmpty() || workspaces.isEmpty()) {
                throw LoadFlags.DESCRIBE.invalidValue(file, "a file that names routers and workspaces");
            }
            return LoadSettings.of(targets, workspaces, model);
        } catch (IOException exception) {
            throw LoadFlags.DESCRIBE
                    .invalidValue(file, "a file of 'demo --hold --describe'")
                    .withCause(exception);
        }
    }

    private Shape shape() {
        String value = LoadFlags.SHAPE.valueIn(values).orElseThrow();
        return Arrays.stream(Shape.values())
                .filter(shape ->
                        shape.name().equals(value.toUpperCase(Locale.ROOT).replace('-', '_')))
                .findFirst()
                .orElseThrow(() -> LoadFlags.SHAPE.invalidValue(value, "steady, wake-storm or flood"));
    }

    private List<RankShare> ranks() {
        List<RankShare> ranks = new ArrayList<>();
        for (String entry : LoadFlags.RANKS.valueIn(values).orElse("").split(",")) {
            if (!entry.isBlank()) {
                ranks.add(rank(entry));
            }
        }
        return ranks.isEmpty() ? List.of(new RankShare("", 1)) : ranks;
    }

    private static RankShare rank(String entry) {
        String[] parts = entry.split("=");
        try {
            double share = parts.length == 1 ? 1 : Double.parseDouble(parts[1]);
            if (share > 0 && parts.length <= 2) {
                return new RankShare(parts[0].trim(), share);
            }
        } catch (NumberFormatException exception) {
            throw LoadFlags.RANKS.invalidValue(entry, "RANK=SHARE").withCause(exception);
        }
        throw LoadFlags.RANKS.invalidValue(entry, "RANK=SHARE");
    }
}
