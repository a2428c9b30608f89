package org.baobabcart.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;
import org.baobabcart.model.result.BaobabcartException;

/** Results on standard output; messages and errors on standard error. Thread-safe. */
public final class Output {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private final PrintStream results;
    private final PrintStream messages;

    private Output(PrintStream results, PrintStream messages) {
        this.results = results;
        this.messages = messages;
    }

    /** Output to two streams. */
    public static Output of(PrintStream results, PrintStream messages) {
        return new Output(results, messages);
    }

    /** Prints a line of the result. */
    public void line(String text) {
        results.println(text);
    }

    /** Prints a table. */
    public void table(Table table) {
        table.lines().forEach(results::println);
    }

    /** Prints a value as JSON. */
    public void json(Object value) {
        try {
            results.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a result could not be written as JSON", exception);
        }
    }

    /** Prints progress or a note for people. */
    public void note(String text) {
        messages.println(text);
    }

    /** Prints a failure with its number on one line. */
    public void failure(BaobabcartException failure) {
        messages.println(
                "error " + failure.code().number() + " " + failure.code().name() + ": " + failure.getMessage());
    }
}
