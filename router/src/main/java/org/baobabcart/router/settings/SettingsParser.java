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

/** Reads settings: a flag goes before its environment variable, and that before the default. Thread-safe. */
public final class SettingsParser {
    private final Map<String, String> environment;

    private SettingsParser(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** A parser that falls back to these environment variables. */
    public static SettingsParser create(Map<String, String> environment) {
        return new SettingsParser(environment);
    }

    /**
     * Reads and checks all settings; empty where help was asked for and has been printed to standard output.
     *
     * @throws BaobabcartException with {@link ResultCode#BAD_SETTING} that tells name, value and what is accepted
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
        return RouterSettings.ofChecked(values);
    }

    private String value(Setting setting, Namespace namespace) {
        String flag = namespace.getString(setting.name());
        String variable = environment.get(setting.environmentVariable());
        String text = Optional.ofNullable(flag)
                .or(() -> Optional.ofNullable(variable))
                .or(setting::defaultValue)
                .orElseThrow(() -> refused(setting, "is missing"));
        if (!setting.accepts(text)) {
            throw refused(setting, "has the value '" + text + "'");
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
        String fallback = setting.defaultValue()
                .map(value -> "default: " + (value.isEmpty() ? "empty" : value))
                .orElse("required");
        return setting.help() + " (" + setting.accepted() + "; " + setting.environmentVariable() + "; " + fallback
                + ")";
    }

    private static BaobabcartException refused(Setting setting, String what) {
        String detail = what + "; accepted: " + setting.accepted();
        return BaobabcartException.of(ResultCode.BAD_SETTING, detail)
                .withLocation(setting.flag() + " (" + setting.environmentVariable() + ")");
    }
}
