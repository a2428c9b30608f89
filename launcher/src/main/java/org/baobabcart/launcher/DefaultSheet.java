package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.sheet.Cascade;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.Rank;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.model.sheet.ServiceCall;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Workspace;

/**
 * Default sheet of a local fleet: two models, one cascade, the given services and four workspaces. Immutable.
 *
 * @param sheet the sheet
 * @param workspaces the workspaces with their unhashed keys
 */
public record DefaultSheet(Sheet sheet, List<FleetWorkspace> workspaces) {
    private static final int WORKSPACE_COUNT = 4;
    private static final double LARGE_WEIGHT = 4;
    private static final long RETENTION_SECONDS = 86_400;
    private static final String LARGE = "layout-large";
    private static final String SMALL = "layout-small";
    private static final String CASCADE = "layout";

    /** Copies the list. */
    public DefaultSheet {
        workspaces = List.copyOf(workspaces);
    }

    /** Creates a sheet with these services; the seed determines the workspace keys. */
    public static DefaultSheet of(long seed, List<String> services) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FleetWorkspace> workspaces = new ArrayList<>();
        for (int index = 1; index <= WORKSPACE_COUNT; index++) {
            double weight = index == 1 ? LARGE_WEIGHT : 1;
            String key = "key-" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            workspaces.add(
                    new FleetWorkspace("workspace-" + index, key, List.of(LARGE, SMALL, CASCADE), services, weight));
        }
        Sheet sheet = new Sheet(
                "local-" + seed,
                "normal",
                ranks(),
                models(),
                List.of(new Cascade(CASCADE, 0.8, List.of(SMALL, LARGE))),
                workspaces.stream().map(DefaultSheet::workspace).toList(),
                services.stream().map(DefaultSheet::service).toList(),
                List.of(),
                List.of(),
                List.of());
        return new DefaultSheet(sheet, workspaces);
    }

    /** Returns the sheet as JSON. */
    public JsonNode toJson() {
        return SheetReader.create().write(sheet);
    }

    private static List<Rank> ranks() {
        return List.of(
                new Rank("urgent", 800, 100, 0),
                new Rank("normal", 3_000, 10, 0.1),
                new Rank("batch", 30_000, 1, 0.05));
    }

    private static List<Model> models() {
        Model large = new Model(LARGE, List.of(new Version("v1", 10, 0.95, 1), new Version("v2", 9, 0.95, 0)));
        Model small = new Model(SMALL, List.of(new Version("v1", 1, 0.7, 1)));
        return List.of(large, small);
    }

    private static Service service(String name) {
        return new Service(name, List.of(new ServiceCall("POST", "/bookings", false, true)), RETENTION_SECONDS);
    }

    private static Workspace workspace(FleetWorkspace workspace) {
        return new Workspace(
                workspace.name(),
                List.of(KeyHash.of(workspace.key())),
                workspace.models(),
                workspace.services(),
                workspace.weight());
    }
}
