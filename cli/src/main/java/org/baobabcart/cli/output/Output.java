package org.baobabcart.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import org.baobabcart.model.result.BaobabcartException;

/** Output of a command, with separate streams for results and for messages and errors. Thread-safe. */
public final class Output {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private final PrintStream results;
    private final PrintStream messages;

    private Output(PrintStream results, PrintStream messages) {
        this.results = results;
        this.messages = messages;
    }

    /** Creates an output that writes to two streams. */
    public static Output of(PrintStream results, PrintStream messages) {
        return new Output(results, messages);
    }

    /** Prints a result line. */
    public void line(String text) {
        results.println(text);
    }

    /** Prints a table as result. */
    public void table(Table table) {
        table.lines().forEach(results::println);
    }

    /** Prints a value as JSON result. */
    public void json(Object value) {
        try {
            results.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("the result could not be written as JSON", exception);
        }
    }

    /** Prints a progress message or note. */
    public void note(String text) {
        messages.println(text);
    }

    /** Prints a failure with its result code as one line. */
    public void failure(BaobabcartException failure) {
        messages.println(
                "error " + failure.code().number() + " " + failure.code().name() + ": " + failure.getMessage());
    }
}
