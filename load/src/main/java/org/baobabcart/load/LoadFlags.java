package org.baobabcart.load;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Command line flags of the load tool with their environment variables and defaults. */
enum LoadFlags {
    DESCRIBE("--describe", null, "file of 'demo --hold --describe' that names routers, workspaces and keys"),
    TARGETS("--targets", null, "comma-separated addresses of routers, instead of --describe"),
    KEY("--key", null, "key of the workspace, with --targets"),
    MODEL("--model", "layout-large", "model or cascade"),
    SHAPE("--shape", "steady", "steady, wake-storm or flood"),
    RATE("--rate", "10", "requests per second"),
    SECONDS("--seconds", "10", "period in which requests are started, in seconds"),
    MOST_REQUESTS("--most-requests", "100000", "maximum number of requests"),
    RANKS("--ranks", null, "ranks and their shares, such as urgent=1,normal=5"),
    TOKENS("--tokens", "16", "maximum number of tokens in a response"),
    STREAM("--stream", "true", "whether responses are streamed"),
    RETRIES("--retries", "0", "maximum number of retries of a rejected request whose response permits a retry"),
    TIMEOUT_SECONDS("--request-timeout-seconds", "30", "request timeout in seconds, measured from the planned start"),
    SEED("--seed", "1", "random seed of the load");

    private final String flag;
    private final String fallback;
    private final String help;

    LoadFlags(String flag, String fallback, String help) {
        this.flag = flag;
        this.fallback = fallback;
        this.help = help;
    }

    String flag() {
        return flag;
    }

    String key() {
        return flag.substring(2).replace('-', '_');
    }

    String environmentVariable() {
        return "BAOBABCART_" + key().toUpperCase(Locale.ROOT);
    }

    String help() {
        return help + " (" + environmentVariable() + (fallback == null ? "" : ", default " + fallback) + ")";
    }

    Optional<String> valueIn(Map<String, String> values) {
        return Optional.ofNullable(values.getOrDefault(key(), fallback)).filter(text -> !text.isBlank());
    }

    double number(Map<String, String> values, double min, double max) {
        String value = valueIn(values).orElse("");
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException exception) {
            throw invalidValue(value, "a number from " + min + " to " + max).withCause(exception);
        }
        throw invalidValue(value, "a number from " + min + " to " + max);
    }

    BaobabcartException invalidValue(String value, String accepted) {
        String detail = "'" + value + "' is not accepted; expected " + accepted + " (" + environmentVariable() + ")";
        return BaobabcartException.of(ResultCode.BAD_SETTING, detail).withLocation(flag);
    }
}
