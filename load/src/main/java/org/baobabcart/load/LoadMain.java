package org.baobabcart.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Entry point of the load tool, which sends the load set by its flags and prints the results as JSON. */
public final class LoadMain {
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private LoadMain() {}

    /** Runs the tool and exits the process. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv()));
    }

    /**
     * Runs the tool.
     *
     * @return 0 if at least one request received a complete response, 1 if none did, 2 if the flags are invalid
     */
    public static int run(String[] arguments, Map<String, String> environment) {
        ArgumentParser parser = parser();
        try {
            Map<String, String> values = values(parser.parseArgs(arguments).getAttrs(), environment);
            LoadSettings settings = LoadSettingsParser.parse(values);
            try (LoadGenerator generator = LoadGenerator.create()) {
                LoadReport report = generator.run(settings);
                System.out.println(MAPPER.writeValueAsString(report));
                return report.all().count(Outcome.COMPLETE) > 0 ? OK : FAILED;
            }
        } catch (HelpScreenException exception) {
            return OK;
        } catch (ArgumentParserException exception) {
            parser.printUsage(new PrintWriter(System.err, true));
            return failure(BaobabcartException.of(ResultCode.BAD_SETTING, exception.getMessage()));
        } catch (BaobabcartException exception) {
            return failure(exception);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("the report could not be written as JSON", exception);
        }
    }

    private static int failure(BaobabcartException failure) {
        System.err.println(
                "error " + failure.code().number() + " " + failure.code().name() + ": " + failure.getMessage());
        return USAGE;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("baobabcart load")
                .terminalWidthDetection(false)
                .build()
                .description("Send open-loop load and print the results as JSON.");
        for (LoadFlags flag : LoadFlags.values()) {
            parser.addArgument(flag.flag()).dest(flag.key()).metavar("VALUE").help(flag.help());
        }
        return parser;
    }

    private static Map<String, String> values(Map<String, Object> given, Map<String, String> environment) {
        Map<String, String> values = new HashMap<>();
        for (LoadFlags flag : LoadFlags.values()) {
            String value = environment.get(flag.environmentVariable());
            Object argument = given.get(flag.key());
            if (argument != null || value != null) {
                values.put(flag.key(), argument == null ? value : argument.toString());
            }
        }
        return values;
    }
}
