package org.baobabcart.router.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Parses settings: a flag takes precedence over its environment variable, and that over the default. Thread-safe. */
public final class SettingsParser {
    private final Map<String, String> environment;

    private SettingsParser(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Creates a parser that falls back to the given environment variables. */
    public static SettingsParser create(Map<String, String> environment) {
        return new SettingsParser(environment);
    }

    /**
     * Parses and validates all settings; returns empty if help was requested and has been printed to standard output.
     *
     * @throws BaobabcartException with {@link ResultCode#BAD_SETTING}; for an invalid or missing value, the
     *     message contains the name of the setting, the value and what is accepted
     */
    public Optional<RouterSettings> parse(String... arguments) {
        ArgumentParser parser = argumentParser();
        try {
            return Optional.of(settings(parser.parseArgs(arguments)));
        } catch (HelpScreenException exception) {
            return Optional.empty();
        } catch (ArgumentParserException exception) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, exception.getMessage())
                    .withCause(exception);
        }
    }

    private RouterSettings settings(Namespace namespace) {
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (Setting setting : Setting.values()) {
            values.put(setting, value(setting, namespace));
        }
        return RouterSettings.ofValidated(values);
    }

    private String value(Setting setting, Namespace namespace) {
        String flag = namespace.getString(setting.name());
        String variable = environment.get(setting.environmentVariable());
        String text = Optional.ofNullable(flag)
                .or(() -> Optional.ofNullable(variable))
                .or(setting::defaultValue)
                .orElseThrow(() -> invalidSetting(setting, "is missing"));
        if (!setting.accepts(text)) {
            throw invalidSetting(setting, "has the value '" + text + "'");
        }
        return text;
    }

    private static ArgumentParser argumentParser() {
        ArgumentParser parser = ArgumentParsers.newFor("baobabcart-router")
                .build()
                .defaultHelp(false)
                .description("Routes requests to models and services.");
        for (Setting setting : Setting.values()) {
            parser.addArgument(setting.flag()).dest(setting.name()).help(help(setting));
        }
        return parser;
    }

    private static String help(Setting setting) {
        String defaultText = setting.defaultValue()
                .map(value -> "default: " + (value.isEmpty() ? "empty" : value))
                .orElse("required");
        return setting.help() + " (" + setting.accepted() + "; " + setting.environmentVariable() + "; " + defaultText
                + ")";
    }

    private static BaobabcartException invalidSetting(Setting setting, String problem) {
        String detail = problem + "; accepted: " + setting.accepted();
        return BaobabcartException.of(ResultCode.BAD_SETTING, detail)
                .withLocation(setting.flag() + " (" + setting.environmentVariable() + ")");
    }
}
