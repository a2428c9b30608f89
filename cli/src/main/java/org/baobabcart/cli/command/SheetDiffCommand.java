package org.baobabcart.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;

/** {@code sheet diff FILE}: shows the differences between a sheet and the published sheet. */
final class SheetDiffCommand implements Command {
    private static final String FILE = "FILE";

    @Override
    public List<String> words() {
        return List.of("sheet", "diff");
    }

    @Override
    public String help() {
        return "show the differences between a sheet and the published one";
    }

    @Override
    public List<String> positionals() {
        return List.of(FILE);
    }

    @Override
    public List<Flag> flags() {
        return List.of(CommonFlags.PLATFORM, CommonFlags.JSON);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Sheet sheet = SheetFiles.read(arguments.positional(FILE));
        Map<String, String> before = PlatformObjects.currentSheet(PlatformObjects.store(arguments, context))
                .map(published -> leaves(published.sheet()))
                .orElse(Map.of());
        List<Difference> differences = differences(before, leaves(sheet));
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(differences);
        } else if (differences.isEmpty()) {
            context.output().line("no difference");
        } else {
            Table table = Table.of("PATH", "NOW", "NEW");
            differences.forEach(entry -> table.row(entry.path(), entry.now(), entry.future()));
            context.output().table(table);
        }
        return ExitCode.OK;
    }

    private static List<Difference> differences(Map<String, String> before, Map<String, String> after) {
        TreeSet<String> paths = new TreeSet<>(before.keySet());
        paths.addAll(after.keySet());
        List<Difference> differences = new ArrayList<>();
        for (String path : paths) {
            String now = before.getOrDefault(path, "");
            String future = after.getOrDefault(path, "");
            if (!now.equals(future)) {
                differences.add(new Difference(path, now, future));
            }
        }
        return differences;
    }

    private static Map<String, String> leaves(Sheet sheet) {
        Map<String, String> leaves = new TreeMap<>();
        collect("$", SheetReader.create().write(sheet), leaves);
        return leaves;
    }

    private static void collect(String path, JsonNode node, Map<String, String> leaves) {
        if (node.isObject()) {
            node.properties().forEach(entry -> collect(path + "." + entry.getKey(), entry.getValue(), leaves));
        } else if (node.isArray()) {
            for (int index = 0; index < node.size(); index++) {
                collect(path + "[" + label(node.get(index), index) + "]", node.get(index), leaves);
            }
        } else {
            leaves.put(path, node.asText());
        }
    }

    private static String label(JsonNode element, int index) {
        return element.path("name").asText(Integer.toString(index));
    }

    private record Difference(String path, String now, String future) {}
}
